#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/output.h"
#include "cli/run.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

void printJson(const control_group_status &view)
{
    Poco::JSON::Array controls;
    for (const control_group_status::member &member : view.members) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("address", member.address);
        item->set("reachable", !member.status.isNull());
        if (member.status)
            item->set("status", member.status);
        else
            item->set("failure", member.failure);
        controls.add(item);
    }
    Poco::JSON::Object object;
    object.set("controls", controls);
    if (const auto leader = view.leader()) {
        object.set("revision", leader->get("revision"));
        object.set("instances", leader->get("instances"));
    }
    fmt::print("{}\n", formatJson(object));
}

std::string roleOf(const Poco::JSON::Object &replica)
{
    if (!replica.optValue("connected", false))
        return "cut off";
    return replica.optValue("is_leader", false) ? "leader" : "follower";
}

void printTables(const control_group_status &view)
{
    std::vector<std::vector<std::string>> rows;
    for (const control_group_status::member &member : view.members) {
        const auto replica = member.status ? member.status->getObject("replica") : nullptr;
        if (replica)
            rows.push_back({member.address, fieldText(*replica, "id"), roleOf(*replica),
                            fieldText(*replica, "term"), fieldText(*replica, "commit"),
                            fieldText(*replica, "applied"), fieldText(*member.status, "revision")});
        else
            rows.push_back(
                {member.address, "-", "no answer: " + member.failure, "-", "-", "-", "-"});
    }
    fmt::print(
        "{}\n",
        formatTable({"CONTROL", "ID", "ROLE", "TERM", "COMMIT", "APPLIED", "REVISION"}, rows));
    const auto leader = view.leader();
    if (leader)
        fmt::print("{}",
                   formatTable(*leader, "instances",
                               {"name", "state", "revision", "address", "region", "failure_domain",
                                "load"}));
    else
        fmt::print("No connected leader answers, so the state of the entry instances is unknown. "
                   "They keep serving with the last accepted\nstate; changes need a majority of "
                   "the control instances.\n");
}

} // namespace

int runStatus(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    const bool json = wantsJson();
    const control_group_status view = readControlGroupStatus(controlAddresses(), timeoutFlag());
    if (json)
        printJson(view);
    else
        printTables(view);
    return view.leader() ? exit_ok : exit_unreachable;
}

} // namespace buckthorngrade
