#include "cli/edit_result.h"

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/common_flags.h"
#include "cli/output.h"
#include "cli/wait_in_force.h"

#include <fmt/format.h>

#include <cstdio>

namespace buckthorngrade {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

void printOutcome(const Poco::JSON::Object &outcome)
{
    const std::string status = fieldText(outcome, "status");
    std::string line = status;
    for (const std::string key : {"drain_id", "version", "revision"})
        if (const std::string value = fieldText(outcome, key); value != "-" && value != "0")
            line += fmt::format(" {}={}", key, value);
    if (outcome.optValue("repeated", false))
        line += " (outcome of an earlier attempt with this request id)";
    fmt::print("{}\n", line);
    if (!outcome.optValue<std::string>("message", "").empty())
        fmt::print("{}\n", fieldText(outcome, "message"));
    if (const auto winner = outcome.getObject("winner"))
        fmt::print("The current version is {} by {} at {}, request id {}, reason: {}\n"
                   "What to do next: 'profile get' shows it; apply your change to that and set it "
                   "again.\n",
                   fieldText(*winner, "version"), fieldText(*winner, "operator"),
                   fieldText(*winner, "time"), fieldText(*winner, "request_id"),
                   fieldText(*winner, "reason"));
}

} // namespace

int finishEdit(const http_reply &reply, const std::vector<std::string> &addresses)
{
    const auto outcome = parseReply(reply);
    if (wantsJson())
        fmt::print("{}\n", reply.body);
    else
        printOutcome(*outcome);
    std::fflush(stdout);
    if (reply.head.status == statusNotFound)
        return exit_not_found;
    if (reply.head.status != statusOk)
        return exit_rejected;
    if (FLAGS_wait)
        waitInForce(outcome->optValue<std::uint64_t>("revision", 0), addresses, timeoutFlag());
    return exit_ok;
}

} // namespace buckthorngrade
