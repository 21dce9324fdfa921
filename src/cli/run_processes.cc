#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/run.h"
#include "cli/run_control.h"
#include "cli/run_entry.h"

#include <gflags/gflags.h>

DEFINE_bool(initialize, false,
            "create the data folder of a founding member; only at its first start");

namespace buckthorngrade {

namespace {

const std::string &requiredConfig(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    if (FLAGS_config.empty())
        throw usage_error("--config is needed: the settings file of this process");
    return FLAGS_config;
}

} // namespace

int runControlProcess(const command_arguments &arguments)
{
    return runControl(requiredConfig(arguments), FLAGS_initialize);
}

int runEntryProcess(const command_arguments &arguments)
{
    return runEntry(requiredConfig(arguments));
}

} // namespace buckthorngrade
