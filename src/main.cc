#include "base/error.h"
#include "cli/run_control.h"
#include "cli/run_entry.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <string>

DEFINE_string(config, "", "settings file of this process");
DEFINE_bool(initialize, false, "control: make a new data folder for a founding member");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("COMMAND [flags]\n\ncommands: control, entry");
    gflags::SetVersionString(BG_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string command = argc > 1 ? argv[1] : "";
    try {
        if (command == "control")
            return buckthorngrade::runControl(FLAGS_config, FLAGS_initialize);
        if (command == "entry")
            return buckthorngrade::runEntry(FLAGS_config);
        fmt::print(stderr, "unknown command '{}'; see --help\n", command);
        return 2;
    } catch (const buckthorngrade::settings_error &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return 2;
    } catch (const std::exception &failure) {
        fmt::print(stderr, "buckthorngrade {}: {}\n", command, failure.what());
        return 1;
    }
}
