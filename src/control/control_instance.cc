#include "control/control_instance.h"

#include <fmt/format.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace buckthorngrade {

namespace {

constexpr int maxMessageBytes = 4 * 1024 * 1024;
constexpr std::chrono::seconds grpcStopLimit{2};
// Clients ping an idle connection every 2 s to notice that it is cut; gRPC's own bound of 5 minutes
// would close the connection after a few of these pings.
constexpr int leastPingIntervalMs = 500;
// A subscriber that is silently cut off is dropped after at most twice this time.
constexpr int keepaliveMs = 5'000;
// Each blocking call has a thread: one for each other replica, and one for each report or keyed
// request under way.
constexpr int maxCallThreads = 256;

std::unique_ptr<grpc::Server> startGrpc(const std::string &address,
                                        const std::vector<grpc::Service *> &services)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    // Without this, two processes could share the port and split the callers between them.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               leastPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    builder.SetResourceQuota(grpc::ResourceQuota("control").SetMaxThreads(maxCallThreads));
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    for (grpc::Service *service : services)
        builder.RegisterService(service);
    auto server = builder.BuildAndStart();
    if (!server || port == 0)
        throw control_error(fmt::format("can't listen on {}", address));
    return server;
}

std::vector<grpc::Service *> withOwn(std::vector<grpc::Service *> services,
                                     grpc::Service &instances, grpc::Service &feed)
{
    services.push_back(&instances);
    services.push_back(&feed);
    return services;
}

} // namespace

control_instance::control_instance(const settings &config, replicator &log, control_state &state,
                                   feed_hub &hub, const clock_source &clock, event_log &events,
                                   metric_registry &metrics, const json_tracer &tracer,
                                   const std::vector<grpc::Service *> &moreServices,
                                   member_control *members)
    : m_edits(log, clock, events, metrics)
    , m_registry(events)
    , m_allocations(config, state, m_confirmation, clock, events, metrics)
    , m_instanceService(config.cluster, log, m_edits, state, m_registry, m_allocations,
                        m_confirmation, clock)
    , m_feedService(config.cluster, hub, log, events, metrics)
    , m_admin(config, state, m_edits, log, members, m_registry, m_confirmation, clock, events,
              metrics, tracer)
    , m_grpcServer(startGrpc(config.findMember(config.control.id)->grpcAddress,
                             withOwn(moreServices, m_instanceService, m_feedService)))
    , m_http(config.findMember(config.control.id)->httpAddress, m_admin, {})
    , m_confirmationDuty(config, log, state, clock, m_confirmation)
    , m_membershipDuty(config, log, state, m_edits, m_registry, m_allocations, clock, events)
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
    m_grpcServer->Shutdown(std::chrono::system_clock::now() + grpcStopLimit);
}

} // namespace buckthorngrade
