#include "control/node_sync_service.h"

#include <optional>
#include <utility>

namespace buckthorngrade {

node_sync_service::node_sync_service(const replica &log, const control_state &state,
                                     const upstream_list_reader &listReader,
                                     entry_instance_table &entryInstances,
                                     upstream_limit_table &limits, const clock_source &clock)
    : m_log(log)
    , m_state(state)
    , m_listReader(listReader)
    , m_entryInstances(entryInstances)
    , m_limits(limits)
    , m_clock(clock)
{ }

grpc::Status node_sync_service::Sync(grpc::ServerContext *, const wire::node_report *report,
                                     wire::node_view *view)
{
    const steady_time now = m_clock.now();
    m_entryInstances.update(*report, now);
    m_limits.update(*report, now);
    const role_view role = m_log.view();
    view->set_replica(role.self);
    view->set_has_leader(role.isLeader ? role.isConnected : role.leader != 0 && role.isConnected);
    for (const member_status &member : m_log.membership().members)
        if (member.voter)
            view->add_voters(member.id);
    addRouting(*report, *view);
    const control_state::evacuations evacuated = m_state.evacuated();
    view->set_evacuation_revision(evacuated.revision);
    if (evacuated.revision != report->evacuation_revision())
        for (const std::string &domain : evacuated.domains)
            view->add_evacuated(domain);
    if (report->wants_details()) {
        addInstances(now, *view);
        m_limits.addUpdate(*report, now, *view);
    }
    if (!report->omits_listing())
        m_listReader.addUpdate(*report, now, *view);
    return grpc::Status::OK;
}

void node_sync_service::addRouting(const wire::node_report &report, wire::node_view &view) const
{
    const std::optional<std::uint64_t> version = m_state.routingVersion();
    if (!version)
        return;
    view.set_routing_version(*version);
    const bool isNewer = !report.has_routing_version() || *version > report.routing_version();
    if (!isNewer || !(report.wants_details() || report.wants_routing()))
        return;
    // May have been replaced by a newer document in the meantime.
    if (std::optional<wire::put_routing> routing = m_state.routing()) {
        view.set_routing_version(routing->version());
        view.set_routing_text(std::move(*routing->mutable_text()));
    }
}

void node_sync_service::addInstances(steady_time now, wire::node_view &view) const
{
    for (const entry_instance_table::entry &entry : m_entryInstances.live(now)) {
        wire::node_entry &added = *view.add_entries();
        added.set_instance(entry.instance);
        added.set_region(entry.region);
    }
    for (wire::region_load &load : m_entryInstances.loads(now))
        *view.add_loads() = std::move(load);
}

} // namespace buckthorngrade
