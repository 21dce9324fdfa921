#include "control/routing_service.h"

#include <optional>

#include <fmt/format.h>

namespace buckthorngrade {

routing_service::routing_service(replicator &log, control_state &state, const routing_codec &codec,
                                 event_log &events)
    : m_log(log)
    , m_state(state)
    , m_codec(codec)
    , m_events(events)
{ }

// Returns `accepted` if this instance is the leader. Otherwise the result names the leader if it is
// known, or is `unavailable`.
routing_result routing_service::checkLeadership() const
{
    const role_view view = m_log.view();
    routing_result result;
    if (view.isLeader)
        result.outcome = routing_result::status::accepted;
    else if (view.leader != 0 && view.isConnected) {
        result.outcome = routing_result::status::not_leader;
        result.leader = view.leader;
    } else
        result.detail = "no leader is known";
    return result;
}

routing_result routing_service::submit(const wire::command &command, std::string_view commandName)
{
    routing_result result = checkLeadership();
    if (result.outcome != routing_result::status::accepted)
        return result;
    const submit_result submitted
        = m_log.submit(command.SerializeAsString(), operationTimeout).get();
    if (submitted.outcome == submit_result::status::applied)
        return result;
    result.outcome = routing_result::status::unavailable;
    if (submitted.outcome == submit_result::status::not_accepted && submitted.leader != 0
        && submitted.leader != m_log.view().self) {
        result.outcome = routing_result::status::not_leader;
        result.leader = submitted.leader;
    }
    result.detail = submitted.outcome == submit_result::status::unknown
        ? "not committed in time; it may still be"
        : "not accepted by this instance";
    m_events.write(event_id::order_unavailable,
                   {{"order", commandName}, {"reason", result.detail}});
    return result;
}

routing_result routing_service::putRouting(std::string_view text)
{
    // A document that an earlier release accepted may fail checks that were added since. It stays
    // in force, and an operator who sends it again must not get another response than before.
    if (const auto inForce = m_state.routing(); inForce && inForce->text() == text)
        return {routing_result::status::accepted, "already in force", 0};
    std::uint64_t version = 0;
    try {
        const routing_document document = m_codec.decodeNew(text);
        checkRouting(document);
        version = document.version;
    } catch (const settings_error &failure) {
        m_events.write(event_id::routing_rejected, {{"reason", failure.what()}});
        return {routing_result::status::invalid, failure.what(), 0};
    }
    // The applied version is committed, so a version that is not higher needs no log entry.
    if (version <= m_state.routingVersion())
        return {routing_result::status::accepted, "not above the version in force", 0};
    wire::command command;
    command.mutable_routing()->set_version(version);
    command.mutable_routing()->set_text(std::string(text));
    routing_result result = submit(command, "routing");
    if (result.outcome == routing_result::status::accepted) {
        const std::optional<std::uint64_t> inForce = m_state.routingVersion();
        m_events.write(
            event_id::routing_accepted,
            {{"version", version}, {"in_force", inForce ? std::to_string(*inForce) : "none"}});
    }
    return result;
}

routing_result routing_service::evacuate(const std::string &failureDomain, bool active)
{
    if (failureDomain.empty())
        return {routing_result::status::invalid, "no failure domain is named", 0};
    wire::command command;
    command.mutable_evacuation()->set_failure_domain(failureDomain);
    command.mutable_evacuation()->set_active(active);
    routing_result result = submit(command, "evacuation");
    if (result.outcome == routing_result::status::accepted)
        m_events.write(event_id::evacuation_accepted,
                       {{"domain", failureDomain}, {"active", active}});
    return result;
}

routing_read_result routing_service::read()
{
    const routing_result leadership = checkLeadership();
    if (leadership.outcome != routing_result::status::accepted)
        return {leadership.outcome, leadership.leader, {}};
    if (!m_log.confirmRead(operationTimeout).get())
        return {};
    const std::optional<wire::put_routing> routing = m_state.routing();
    if (!routing)
        return {};
    return {routing_result::status::accepted, 0, routing->text()};
}

} // namespace buckthorngrade
