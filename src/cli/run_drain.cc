#include "base/error.h"
#include "base/utc_time.h"
#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/edit_result.h"
#include "cli/output.h"
#include "cli/run.h"
#include "model/drain.h"

#include <Poco/JSON/Object.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <optional>

DEFINE_string(start, "", "start of the drain in UTC, 2026-12-04T07:00:00Z; at once if not given");
DEFINE_string(end, "", "end of the drain in UTC; until cancelled if not given");
DEFINE_string(for, "", "duration of the drain, for example 2h; instead of --end");

namespace buckthorngrade {

namespace {

wall_time parseTimeFlag(std::string_view flag, const std::string &value)
{
    const auto time = parseUtcTime(value);
    if (!time)
        throw usage_error(
            fmt::format("--{} must be a time in UTC such as 2026-12-04T07:00:00Z", flag));
    return *time;
}

std::int64_t unixMs(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

int listDrains()
{
    const http_reply reply = admin_client(controlAddresses(), timeoutFlag()).get("/v1/drains");
    if (wantsJson())
        fmt::print("{}\n", reply.body);
    else
        fmt::print("{}",
                   formatTable(*parseReply(reply), "drains",
                               {"id", "kind", "target", "start", "end", "operator", "reason"}));
    return exit_ok;
}

int announceDrain(const std::string &kind, const std::string &target)
{
    try {
        drainTargetFromString(kind);
    } catch (const settings_error &failure) {
        throw usage_error(failure.what());
    }
    // A retry with the same request id must have the same content, and --for computes the end from
    // the current time if --start is missing.
    if (!FLAGS_request_id.empty() && !FLAGS_for.empty())
        throw usage_error("with --request_id, give the --end that the first attempt printed");
    if (!FLAGS_for.empty() && !FLAGS_end.empty())
        throw usage_error("--for and --end exclude each other");
    std::optional<wall_time> start;
    std::optional<wall_time> end;
    if (!FLAGS_start.empty())
        start = parseTimeFlag("start", FLAGS_start);
    if (!FLAGS_for.empty())
        end = start.value_or(std::chrono::system_clock::now())
            + parseDurationFlag("for", FLAGS_for);
    else if (!FLAGS_end.empty())
        end = parseTimeFlag("end", FLAGS_end);
    Poco::JSON::Object content;
    content.set("kind", kind);
    content.set("target", target);
    if (start)
        content.set("start", unixMs(*start));
    if (end)
        content.set("end", unixMs(*end));
    const auto addresses = controlAddresses();
    const edit_headers headers = editHeadersFromFlags();
    if (end)
        fmt::print(stderr, "end {}\n", formatUtcTime(*end));
    const http_reply reply = admin_client(addresses, timeoutFlag())
                                 .edit("POST", "/v1/drains", headers, formatJson(content));
    return finishEdit(reply, addresses);
}

int cancelDrain(const std::string &id)
{
    const auto addresses = controlAddresses();
    std::string encoded;
    Poco::URI::encode(id, "/?#&+=", encoded);
    const http_reply reply
        = admin_client(addresses, timeoutFlag())
              .edit("DELETE", "/v1/drains/" + encoded, editHeadersFromFlags(), "");
    return finishEdit(reply, addresses);
}

} // namespace

int runDrain(const command_arguments &arguments)
{
    const std::string action = arguments.empty() ? "" : arguments.front();
    wantsJson(); // reports an invalid --output before anything is changed
    if (action == "list") {
        requireArguments(arguments, 1, "list");
        return listDrains();
    }
    if (action == "announce") {
        requireArguments(arguments, 3, "announce KIND TARGET");
        return announceDrain(arguments[1], arguments[2]);
    }
    if (action == "cancel") {
        requireArguments(arguments, 2, "cancel ID");
        return cancelDrain(arguments[1]);
    }
    throw usage_error("expected: drain list | announce KIND TARGET | cancel ID");
}

} // namespace buckthorngrade
