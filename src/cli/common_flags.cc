#include "cli/common_flags.h"

#include "base/yaml_reader.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "model/settings.h"

#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

DEFINE_string(config, "", "settings file of a process");
DEFINE_string(control, "", "control instances, IP:port[,IP:port ...]; instead of --config");
DEFINE_string(entry, "", "entry instance to ask, IP:port; instead of finding one through control");
DEFINE_string(operator, "", "name that the audit history shows; $USER if not given");
DEFINE_string(output, "table", "json or table");
DEFINE_string(reason, "", "reason that the audit history shows");
DEFINE_string(request_id, "", "id of an earlier attempt, to send the same change again safely");
DEFINE_string(timeout, "30s", "longest time to wait");
DEFINE_bool(wait, false, "wait until the change is in force on every entry instance");

namespace buckthorngrade {

std::vector<std::string> controlAddresses()
{
    std::vector<std::string> addresses;
    if (!FLAGS_control.empty()) {
        const Poco::StringTokenizer words(FLAGS_control, ",", Poco::StringTokenizer::TOK_TRIM);
        addresses.assign(words.begin(), words.end());
        for (const std::string &address : addresses)
            if (!isSocketAddress(address))
                throw usage_error("--control: '" + address + "' is not IP:port");
    } else if (!FLAGS_config.empty()) {
        for (const control_member &member : loadSettings(FLAGS_config).members)
            addresses.push_back(member.httpAddress);
    } else {
        throw usage_error("name the control instances with --control=IP:port[,IP:port ...] or with "
                          "--config=SETTINGS-FILE");
    }
    return addresses;
}

const std::string &requiredConfig()
{
    if (FLAGS_config.empty())
        throw usage_error("--config is required: the settings file of this process");
    return FLAGS_config;
}

std::chrono::milliseconds timeoutFlag()
{
    return parseDurationFlag("timeout", FLAGS_timeout);
}

bool wantsJson()
{
    if (FLAGS_output != "json" && FLAGS_output != "table")
        throw usage_error("--output must be json or table");
    return FLAGS_output == "json";
}

} // namespace buckthorngrade
