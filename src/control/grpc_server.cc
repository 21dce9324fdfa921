#include "control/grpc_server.h"

#include "control/control_state.h"

#include <fmt/format.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace buckthorngrade {

namespace {

constexpr int maxMessageBytes = 4 * 1024 * 1024;
// Clients ping an idle connection every 2 s to detect that it is lost. With gRPC's default minimum
// of 5 minutes the server would close the connection after a few of these pings.
constexpr int minPingIntervalMs = 500;
// Ping interval and timeout: a subscriber whose connection is lost without a reset is detected
// after at most twice this time.
constexpr int keepaliveMs = 5'000;
// Each blocking call occupies a thread: one for the stream of each other replica, and one for each
// report or keyed request in progress.
constexpr int maxCallThreads = 256;

} // namespace

std::unique_ptr<grpc::Server> startGrpcServer(const std::string &address,
                                              const std::vector<grpc::Service *> &services)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    // With SO_REUSEPORT two processes could bind the same port and each would get a part of the
    // connections.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               minPingIntervalMs);
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

} // namespace buckthorngrade
