#include "control/instance_service.h"

#include <algorithm>
#include <chrono>

namespace buckthorngrade {

namespace {

grpc::Status clusterMismatch()
{
    return {grpc::StatusCode::FAILED_PRECONDITION, "another cluster"};
}

constexpr int maxReportedUpstreams = 4'096;
constexpr int maxReportedServices = 1'024;
constexpr int maxReportedPeers = 256;
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxAddressBytes = 128;
constexpr std::size_t maxKeyBytes = 256;
// The instance table is the same in all replies and is rebuilt at most once in this time.
constexpr std::chrono::milliseconds instanceTableLifetime{200};

bool isWithinBounds(const wire::report_request &report)
{
    const auto hasName = [](const auto &item) {
        return !item.service().empty() && item.service().size() <= maxNameBytes;
    };
    return !report.instance().empty() && report.instance().size() <= maxNameBytes
        && report.http_address().size() <= maxAddressBytes && report.region().size() <= maxNameBytes
        && report.failure_domain().size() <= maxNameBytes
        && report.upstreams_size() <= maxReportedUpstreams
        && report.services_size() <= maxReportedServices
        && report.foreign_size() <= maxReportedServices && report.peers_size() <= maxReportedPeers
        && std::ranges::all_of(report.upstreams(), hasName)
        && std::ranges::all_of(report.services(), hasName)
        && std::ranges::all_of(report.foreign(), hasName);
}

} // namespace

instance_service::instance_service(std::string cluster, const replicator &log, edit_service &edits,
                                   const control_state &state, instance_registry &registry,
                                   allocation_service &allocations,
                                   const leader_confirmation &confirmed, const clock_source &clock)
    : m_cluster(std::move(cluster))
    , m_log(log)
    , m_edits(edits)
    , m_state(state)
    , m_registry(registry)
    , m_allocations(allocations)
    , m_confirmed(confirmed)
    , m_clock(clock)
{ }

grpc::Status instance_service::Report(grpc::ServerContext *, const wire::report_request *request,
                                      wire::report_reply *reply)
{
    if (request->cluster() != m_cluster)
        return clusterMismatch();
    if (!isWithinBounds(*request))
        return {grpc::StatusCode::INVALID_ARGUMENT, "the report has too many items or long names"};
    const role_view view = m_log.view();
    reply->set_leader(view.leader);
    reply->set_term(view.term);
    // A leader that was replaced must not accept reports, because its instance table may be out of
    // date.
    if (!view.isLeader || !m_allocations.isConfirmed(view.term))
        return grpc::Status::OK;
    m_registry.beginTerm(view.term, m_state.instances(), m_clock.now());
    if (!m_registry.record(*request, m_clock.now()))
        return grpc::Status::OK;
    reply->set_accepted(true);
    m_allocations.report(view.term, *request, *reply);
    addInstances(*reply);
    return grpc::Status::OK;
}

void instance_service::addInstances(wire::report_reply &reply)
{
    const steady_time now = m_clock.now();
    std::shared_ptr<const wire::report_reply> table;
    {
        const std::lock_guard lock(m_instanceTableMutex);
        if (!m_instanceTable || now - m_instanceTableBuiltAt >= instanceTableLifetime) {
            auto next = std::make_shared<wire::report_reply>();
            for (const instance_status &status : m_registry.list(now)) {
                wire::instance_entry &entry = *next->add_instances();
                entry.set_instance(status.name);
                entry.set_incarnation(status.incarnation);
                entry.set_http_address(status.address);
                entry.set_region(status.region);
                entry.set_failure_domain(status.failureDomain);
                entry.set_health(toWire(status.state));
                entry.set_revision(status.revision);
                constexpr double percent = 100;
                entry.set_load_percent(static_cast<std::uint32_t>(status.load * percent));
            }
            m_instanceTable = std::move(next);
            m_instanceTableBuiltAt = now;
        }
        table = m_instanceTable;
    }
    *reply.mutable_instances() = table->instances();
}

grpc::Status instance_service::BeginRequest(grpc::ServerContext *,
                                            const wire::begin_request *request,
                                            wire::begin_reply *reply)
{
    if (request->key().empty() || request->key().size() > maxKeyBytes
        || request->service().size() > maxNameBytes || request->instance().size() > maxNameBytes)
        return {grpc::StatusCode::INVALID_ARGUMENT, "a name or the key is missing or too long"};
    const command_result result = m_edits.submitBegin(*request);
    reply->set_accepted(result.outcome == submit_result::status::applied);
    reply->set_unknown(result.outcome == submit_result::status::unknown);
    reply->set_leader(result.leader);
    *reply->mutable_outcome() = result.applied.begin();
    return grpc::Status::OK;
}

grpc::Status instance_service::FinishRequest(grpc::ServerContext *,
                                             const wire::finish_request *request,
                                             wire::finish_reply *reply)
{
    const command_result result = m_edits.submitFinish(*request);
    reply->set_accepted(result.outcome == submit_result::status::applied);
    reply->set_leader(result.leader);
    return grpc::Status::OK;
}

grpc::Status instance_service::Probe(grpc::ServerContext *, const wire::probe_request *request,
                                     wire::probe_reply *reply)
{
    if (request->cluster() != m_cluster)
        return clusterMismatch();
    const role_view view = m_log.view();
    reply->set_replica(view.self);
    reply->set_leader(view.isConnected ? view.leader : 0);
    reply->set_term(view.term);
    if (const auto confirmed = m_confirmed.read()) {
        const auto age
            = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - confirmed->at);
        reply->set_confirmed(true);
        reply->set_confirmed_revision(confirmed->revision);
        reply->set_confirmed_age_ms(static_cast<std::uint32_t>(age.count()));
    }
    return grpc::Status::OK;
}

} // namespace buckthorngrade
