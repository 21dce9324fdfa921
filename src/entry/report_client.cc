#include "entry/report_client.h"

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds reportPeriod{1'000};
constexpr std::chrono::milliseconds callTimeout{800};

instance_state stateFromWire(wire::instance_health health)
{
    switch (health) {
    case wire::HEALTH_LIVE:
        return instance_state::live;
    case wire::HEALTH_SUSPECTED:
        return instance_state::suspected;
    case wire::HEALTH_DEAD:
        return instance_state::dead;
    case wire::HEALTH_LEAVING:
        return instance_state::leaving;
    case wire::HEALTH_REMOVED:
        return instance_state::removed;
    default:
        return instance_state::not_ready;
    }
}

instance_status statusFromWire(const wire::instance_entry &entry)
{
    constexpr double percent = 100;
    instance_status status;
    status.name = entry.instance();
    status.incarnation = entry.incarnation();
    status.address = entry.http_address();
    status.region = entry.region();
    status.failureDomain = entry.failure_domain();
    status.state = stateFromWire(entry.health());
    status.revision = entry.revision();
    status.load = entry.load_percent() / percent;
    return status;
}

} // namespace

report_client::report_client(const settings &config, std::uint64_t incarnation,
                             const control_channels &channels, leader_hint &leader,
                             const freshness_client &freshnessClient, const config_store &store,
                             const targets &state, const clock_source &clock, event_log &events,
                             metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_incarnation(incarnation)
    , m_channels(channels)
    , m_leader(leader)
    , m_freshnessClient(freshnessClient)
    , m_store(store)
    , m_targets(state)
    , m_clock(clock)
    , m_events(events)
    , m_failures(metrics.counter("buckthorngrade_reports_failed_total"))
    , m_tracer(tracer)
    , m_thread(
          "report", reportPeriod, [this] { run(); }, events)
{ }

void report_client::run()
{
    const auto *leader = m_channels.find(m_leader.leader());
    if (leader && report(*leader))
        return;
    // If the leader has changed, another member knows the new one.
    const auto &members = m_channels.members();
    const auto &other = members[m_nextMember++ % members.size()];
    if (!leader || other.id != leader->id)
        if (report(other))
            return;
    m_failures.add();
}

wire::report_request report_client::makeReport(steady_time now)
{
    wire::report_request request;
    request.set_cluster(m_settings.cluster);
    request.set_instance(m_settings.instance);
    request.set_incarnation(m_incarnation);
    request.set_revision(m_store.current()->revision);
    request.set_ready(m_freshnessClient.isReady() && m_targets.slotTable.isAllocated());
    request.set_leaving(m_leaving);
    request.set_http_address(m_settings.entry.publicAddress);
    request.set_region(m_settings.region());
    request.set_failure_domain(m_settings.failureDomain);
    std::map<std::pair<std::string, std::string>, service_balancer::upstream_report> measured;
    for (const auto &balancer : m_targets.balancers) {
        const service_spec &spec = balancer->spec();
        const auto demand = balancer->collectDemand(now);
        wire::service_demand *out = request.add_services();
        out->set_service(spec.name);
        out->set_arrivals(demand.arrivals);
        out->set_waiting(demand.waiting);
        out->set_peak_in_flight(demand.peakInFlight);
        out->set_refused(demand.refused);
        out->set_foreign_in_flight(demand.foreignInFlight);
        wire::foreign_demand *foreign = request.add_foreign();
        foreign->set_service(spec.name);
        foreign->set_held(demand.foreignHeld);
        foreign->set_in_flight(demand.foreignInFlight);
        foreign->set_epoch(demand.foreignEpoch);
        foreign->set_peak_in_flight(demand.foreignPeak);
        foreign->set_refused(demand.foreignRefused);
        for (std::size_t i = 0; i < spec.upstreams.size(); ++i)
            measured[{spec.name, spec.upstreams[i].name}] = demand.upstreams[i];
    }
    for (const slot_table::row_report &row : m_targets.slotTable.report(now)) {
        wire::upstream_demand *out = request.add_upstreams();
        out->set_service(row.service);
        out->set_upstream(row.upstream);
        out->set_held(row.held);
        out->set_in_flight(row.inFlight);
        out->set_epoch(row.epoch);
        const auto &measurement = measured[{row.service, row.upstream}];
        out->set_failures(measurement.failures);
        out->set_sheds(measurement.sheds);
        out->set_answers(measurement.responses);
        out->set_started(measurement.hasRestarted);
        out->set_latency_us(static_cast<std::uint32_t>(measurement.latency.count()));
    }
    return request;
}

bool report_client::report(const control_channels::member &member)
{
    const auto span = m_tracer.startFromHeader("entry.report", "");
    const steady_time sentAt = m_clock.now();
    const wire::report_request request = makeReport(sentAt);
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    wire::report_reply reply;
    const grpc::Status status = member.link->Report(&context, request, &reply);
    span->SetTag("status", status.ok() ? std::string("ok") : status.error_message());
    if (!status.ok())
        return false;
    m_leader.observe(reply.leader());
    if (!reply.accepted())
        return false;
    apply(reply, sentAt);
    return true;
}

void report_client::apply(const wire::report_reply &reply, steady_time reportSentAt)
{
    std::vector<slot_table::row_grant> grants;
    for (const auto &item : reply.allocations())
        grants.push_back(
            {item.service(), item.upstream(), {item.slots(), item.reserved(), item.epoch()}});
    const bool hadSlots = m_targets.slotTable.isAllocated();
    m_targets.slotTable.applyGrants(reply.term(), grants, reportSentAt);
    if (!hadSlots && m_targets.slotTable.isAllocated())
        m_events.write(event_id::allocation_started, {{"term", reply.term()}});
    for (const auto &balancer : m_targets.balancers) {
        std::optional<slot_grant> share;
        for (const auto &limit : reply.foreign_limits())
            if (limit.service() == balancer->spec().name && limit.region() == m_settings.region())
                share = slot_grant{limit.slots(), 0, limit.epoch()};
        balancer->applyForeignLimit(reply.term(), share, reportSentAt);
    }
    applyInstances(reply, reportSentAt);
}

void report_client::applyInstances(const wire::report_reply &reply, steady_time reportSentAt)
{
    std::vector<instance_status> instances;
    std::ranges::transform(reply.instances(), std::back_inserter(instances), statusFromWire);
    std::size_t members = 0;
    std::size_t inRegion = 0;
    for (const instance_status &status : instances) {
        if (status.state == instance_state::removed || status.state == instance_state::dead)
            continue;
        ++members;
        if (status.region == m_settings.region())
            ++inRegion;
    }
    m_targets.linkLimiter.setInstanceCount(inRegion);
    m_targets.pool.setInstanceCount(members);
    m_targets.directory.update(std::move(instances), reportSentAt);
}

} // namespace buckthorngrade
