#include "cli/entry_finder.h"

#include "base/yaml_reader.h"
#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/common_flags.h"
#include "cli/output.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

namespace buckthorngrade {

std::string findEntry(const std::string &decisionId)
{
    if (!FLAGS_entry.empty()) {
        if (!isSocketAddress(FLAGS_entry))
            throw usage_error("--entry must be IP:port");
        return FLAGS_entry;
    }
    const auto status = readControlView(controlAddresses(), timeoutFlag()).leader();
    if (!status)
        throw unreachable_error(
            "no connected leader answers, so the entry instances' addresses are "
            "unknown.\nWhat to do next: name an entry instance with "
            "--entry=IP:port.");
    const auto instances = status->getArray("instances");
    std::string bestName;
    std::string bestAddress;
    for (std::size_t i = 0; instances && i < instances->size(); ++i) {
        const auto instance = instances->getObject(static_cast<unsigned>(i));
        if (!instance)
            continue;
        const std::string name = fieldText(*instance, "name");
        // With "entry-1" and "entry-11", the longer name is the right one.
        const bool matches = decisionId.empty()
            ? bestName.empty() && fieldText(*instance, "state") == "live"
            : decisionId.find(name) != std::string::npos && name.size() > bestName.size();
        if (matches) {
            bestName = name;
            bestAddress = fieldText(*instance, "address");
        }
    }
    if (bestAddress.empty())
        throw not_found_error(decisionId.empty()
                                  ? "no entry instance is live"
                                  : fmt::format("no known entry instance made decision '{}'; name "
                                                "one with --entry=IP:port",
                                                decisionId));
    return bestAddress;
}

} // namespace buckthorngrade
