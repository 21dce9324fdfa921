#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/output.h"
#include "cli/run.h"

#include <Poco/JSON/Object.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>

DEFINE_bool(learner, false, "member add: the new member never votes");

namespace buckthorngrade {

namespace {

constexpr int statusAccepted = 202;
constexpr int statusNotFound = 404;
constexpr unsigned maxReplicaId = 255;

unsigned replicaId(const std::string &word)
{
    unsigned id = 0;
    const char *end = word.data() + word.size();
    const auto [rest, failure] = std::from_chars(word.data(), end, id);
    if (failure != std::errc() || rest != end || id < 1 || id > maxReplicaId)
        throw usage_error(fmt::format("'{}' is not a replica id, 1 to {}", word, maxReplicaId));
    return id;
}

int listMembers()
{
    const control_group_status view = readControlGroupStatus(controlAddresses(), timeoutFlag());
    const auto leader = view.leader();
    if (!leader)
        throw unreachable_error(
            "no connected leader responds, so the state of the members is unknown");
    if (wantsJson()) {
        Poco::JSON::Object object;
        object.set("members", leader->get("members"));
        fmt::print("{}\n", formatJson(object));
    } else {
        fmt::print("{}",
                   formatTable(*leader, "members",
                               {"id", "role", "is_leader", "match", "recently_heard", "incarnation",
                                "http", "grpc"}));
    }
    return exit_ok;
}

int changeMembers(const std::string &action, const Poco::JSON::Object &content)
{
    const http_reply reply
        = admin_client(controlAddresses(), timeoutFlag())
              .edit("POST", "/v1/members/" + action, editHeadersFromFlags(), formatJson(content));
    if (wantsJson()) {
        fmt::print("{}\n", reply.body);
    } else {
        const auto outcome = parseReply(reply);
        fmt::print("{}: {}\n", fieldText(*outcome, "status"), fieldText(*outcome, "message"));
    }
    if (reply.head.status == statusAccepted)
        return exit_ok;
    return reply.head.status == statusNotFound ? exit_not_found : exit_rejected;
}

} // namespace

int runMember(const command_arguments &arguments)
{
    const std::string action = arguments.empty() ? "" : arguments.front();
    wantsJson(); // reports an invalid --output before anything is changed
    Poco::JSON::Object content;
    if (action == "list") {
        requireArguments(arguments, 1, "list");
        return listMembers();
    }
    if (action == "add") {
        requireArguments(arguments, 2, "add ID");
        content.set("id", replicaId(arguments[1]));
        content.set("stays_learner", FLAGS_learner);
    } else if (action == "remove") {
        requireArguments(arguments, 2, "remove ID");
        content.set("id", replicaId(arguments[1]));
    } else if (action == "replace") {
        requireArguments(arguments, 3, "replace OLD-ID NEW-ID");
        content.set("old", replicaId(arguments[1]));
        content.set("new", replicaId(arguments[2]));
    } else {
        throw usage_error("expected: member list | add ID | replace OLD-ID NEW-ID | remove ID");
    }
    return changeMembers(action, content);
}

} // namespace buckthorngrade
