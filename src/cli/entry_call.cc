#include "cli/entry_call.h"

#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/commands.h"
#include "cli/common_flags.h"
#include "cli/output.h"

#include <fmt/format.h>

namespace buckthorngrade {

int printEntryResponse(const std::string &address, const std::string &path, const std::string &what)
{
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    const bool json = wantsJson();
    http_reply reply;
    try {
        reply = callHttp(address, "GET", path, {}, "", timeoutFlag());
    } catch (const http_call_error &failure) {
        throw unreachable_error(fmt::format("entry instance {}: {}\nWhat to do next: "
                                            "'buckthorngrade status' shows which instances are "
                                            "live; name another one with --entry.",
                                            address, failure.what()));
    }
    if (reply.head.status == statusNotFound)
        throw not_found_error(fmt::format("entry instance {} does not know {}", address, what));
    if (reply.head.status != statusOk)
        throw error(
            fmt::format("{} returned status {}: {}", address, reply.head.status, reply.body));
    if (json)
        fmt::print("{}\n", reply.body);
    else
        fmt::print("{}", formatPaths(parseReply(reply)));
    return exit_ok;
}

} // namespace buckthorngrade
