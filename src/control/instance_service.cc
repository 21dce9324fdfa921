#include "control/instance_service.h"

#include <chrono>

namespace buckthorngrade {

namespace {

grpc::Status otherCluster()
{
    return {grpc::StatusCode::FAILED_PRECONDITION, "another cluster"};
}

} // namespace

instance_service::instance_service(std::string cluster, const replicator &log, edit_service &edits,
                                   instance_registry &registry, const confirmation &confirmed,
                                   const clock_source &clock)
    : m_cluster(std::move(cluster))
    , m_log(log)
    , m_edits(edits)
    , m_registry(registry)
    , m_confirmed(confirmed)
    , m_clock(clock)
{ }

grpc::Status instance_service::Report(grpc::ServerContext *, const wire::report_request *request,
                                      wire::report_reply *reply)
{
    if (request->cluster() != m_cluster)
        return otherCluster();
    const role_view view = m_log.view();
    reply->set_leader(view.leader);
    reply->set_term(view.term);
    if (!view.isLeader)
        return grpc::Status::OK;
    reply->set_accepted(true);
    m_registry.record(*request, m_clock.now());
    for (const instance_status &status : m_registry.list(m_clock.now())) {
        wire::instance_entry *entry = reply->add_instances();
        entry->set_instance(status.name);
        entry->set_incarnation(status.incarnation);
        entry->set_http_address(status.address);
        entry->set_region(status.region);
        entry->set_failure_domain(status.failureDomain);
        entry->set_health(toWire(status.state));
        entry->set_revision(status.revision);
    }
    return grpc::Status::OK;
}

grpc::Status instance_service::BeginRequest(grpc::ServerContext *,
                                            const wire::begin_request *request,
                                            wire::begin_reply *reply)
{
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
        return otherCluster();
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
