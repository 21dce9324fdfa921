#include "control/control_instance.h"

#include "control/grpc_server.h"

namespace buckthorngrade {

namespace {

std::vector<grpc::Service *> appendServices(std::vector<grpc::Service *> services,
                                            grpc::Service &instances, grpc::Service &feed)
{
    services.push_back(&instances);
    services.push_back(&feed);
    return services;
}

} // namespace

control_instance::control_instance(const settings &config, replicator &log, control_state &state,
                                   config_publisher &hub, const clock_source &clock,
                                   event_log &events, metric_registry &metrics,
                                   const json_tracer &tracer,
                                   const std::vector<grpc::Service *> &extraServices,
                                   membership_manager *members)
    : m_edits(log, clock, events, metrics)
    , m_registry(events)
    , m_allocations(config, state, m_confirmation, clock, events, metrics)
    , m_instanceService(config.cluster, log, m_edits, state, m_registry, m_allocations,
                        m_confirmation, clock)
    , m_feedService(config.cluster, hub, log, events, metrics)
    , m_admin(config, state, m_edits, log, members, m_registry, m_confirmation, clock, events,
              metrics, tracer)
    , m_grpcServer(startGrpcServer(config.findMember(config.control.id)->grpcAddress,
                                   appendServices(extraServices, m_instanceService, m_feedService)))
    , m_http(config.findMember(config.control.id)->httpAddress, m_admin, {})
    , m_confirmationDuty(config, log, state, clock, m_confirmation)
    , m_instanceMaintainer(config, log, state, m_edits, m_registry, m_allocations, clock, events)
{
    metrics.gauge("buckthorngrade_revision", "", [&state] { return state.revision(); });
    metrics.gauge("buckthorngrade_is_leader", "",
                  [&log] { return log.view().isLeader ? 1.0 : 0.0; });
    metrics.gauge("buckthorngrade_request_records", "",
                  [&state] { return static_cast<double>(state.requestCounts().records); });
    metrics.gauge("buckthorngrade_request_record_bytes", "",
                  [&state] { return static_cast<double>(state.requestCounts().bytes); });
    metrics.gauge("buckthorngrade_feed_subscribers", "",
                  [&hub] { return static_cast<double>(hub.subscriberCount()); });
}

control_instance::~control_instance()
{
    m_grpcServer->Shutdown(std::chrono::system_clock::now() + grpcShutdownTimeout);
}

} // namespace buckthorngrade
