#include "control/control_instance.h"

#include <fmt/format.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace buckthorngrade {

namespace {

constexpr int maxMessageBytes = 4 * 1024 * 1024;
constexpr std::chrono::seconds grpcStopLimit{2};

std::unique_ptr<grpc::Server> startGrpc(const std::string &address,
                                        const std::vector<grpc::Service *> &services)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    // Without this, two processes could share the port and split the callers between them.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    for (grpc::Service *service : services)
        builder.RegisterService(service);
    auto server = builder.BuildAndStart();
    if (!server || port == 0)
        throw control_error(fmt::format("can't listen on {}", address));
    return server;
}

} // namespace

control_instance::control_instance(const settings &config, replicator &log, control_state &state,
                                   feed_hub &hub, const clock_source &clock, event_log &events,
                                   metric_registry &metrics, const json_tracer &tracer)
    : m_edits(log, clock, events, metrics)
    , m_instanceService(config.cluster, log, m_edits, m_registry, m_confirmation, clock)
    , m_feedService(config.cluster, hub, log, events, metrics)
    , m_admin(config, state, m_edits, log, m_registry, clock, metrics, tracer)
    , m_grpcServer(startGrpc(config.findMember(config.control.id)->grpcAddress,
                             {&m_instanceService, &m_feedService}))
    , m_http(config.findMember(config.control.id)->httpAddress, m_admin, {})
    , m_confirmationDuty(config, log, state, clock, m_confirmation)
{
    metrics.gauge("buckthorngrade_revision", "", [&state] { return state.revision(); });
    metrics.gauge("buckthorngrade_is_leader", "",
                  [&log] { return log.view().isLeader ? 1.0 : 0.0; });
    metrics.gauge("buckthorngrade_feed_subscribers", "",
                  [&hub] { return static_cast<double>(hub.subscriberCount()); });
}

control_instance::~control_instance()
{
    m_grpcServer->Shutdown(std::chrono::system_clock::now() + grpcStopLimit);
}

} // namespace buckthorngrade
