#include "cli/entry_finder.h"

#include "base/yaml_reader.h"
#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/common_flags.h"
#include "cli/output.h"
#include "steering/decision_record.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

namespace buckthorngrade {

std::string findEntry(const std::string &decisionId)
{
    const auto parsedId = parseDecisionId(decisionId);
    if (!decisionId.empty() && !parsedId)
        throw usage_error(
            fmt::format("'{}' is not a decision id of the form INSTANCE-NUMBER", decisionId));
    if (!FLAGS_entry.empty()) {
        if (!isSocketAddress(FLAGS_entry))
            throw usage_error("--entry must be IP:port");
        return FLAGS_entry;
    }
    const auto status = readControlGroupStatus(controlAddresses(), timeoutFlag()).leader();
    if (!status)
        throw unreachable_error(
            "no connected leader responds, so the entry instances' addresses are "
            "unknown.\nWhat to do next: name an entry instance with "
            "--entry=IP:port.");
    const auto instances = status->getArray("instances");
    for (std::size_t i = 0; instances && i < instances->size(); ++i) {
        const auto instance = instances->getObject(static_cast<unsigned>(i));
        if (instance
            && (parsedId ? fieldText(*instance, "name") == parsedId->instance
                         : fieldText(*instance, "state") == "live"))
            return fieldText(*instance, "address");
    }
    throw not_found_error(parsedId
                              ? fmt::format("the control group knows no entry instance '{}'; name "
                                            "one with --entry=IP:port",
                                            parsedId->instance)
                              : "no entry instance is live");
}

} // namespace buckthorngrade
