#include "base/error.h"
#include "cli/cli_error.h"
#include "cli/common_flags.h"
#include "cli/output.h"
#include "cli/run.h"
#include "cli/text_file.h"
#include "model/profile.h"
#include "model/settings.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

// Runs `check` and adds a fault for each line of the settings_error that it throws.
template <typename Check>
void collectFaults(std::vector<std::string> &faults, const std::string &prefix, Check check)
{
    try {
        check();
    } catch (const settings_error &failure) {
        for (const std::string &line : Poco::StringTokenizer(failure.what(), "\n"))
            faults.push_back(prefix + line);
    }
}

} // namespace

int runCheck(const command_arguments &arguments)
{
    if (FLAGS_config.empty() && arguments.empty())
        throw usage_error("name a settings file with --config, or profile files");
    std::vector<std::string> faults;
    if (!FLAGS_config.empty())
        collectFaults(faults, "", [] { loadSettings(FLAGS_config); });
    for (const std::string &file : arguments)
        collectFaults(faults, file + ": ", [&] { parseProfile(readTextFile(file)); });
    if (wantsJson()) {
        Poco::JSON::Array list;
        for (const std::string &fault : faults)
            list.add(fault);
        Poco::JSON::Object object;
        object.set("ok", faults.empty());
        object.set("faults", list);
        fmt::print("{}\n", formatJson(object));
    } else if (faults.empty()) {
        fmt::print("ok\n");
    } else {
        for (const std::string &fault : faults)
            fmt::print(stderr, "{}\n", fault);
    }
    return faults.empty() ? exit_ok : exit_rejected;
}

} // namespace buckthorngrade
