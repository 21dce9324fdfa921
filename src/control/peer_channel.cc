#include "control/peer_channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace buckthorngrade {

namespace {

// The peer sends nothing on the stream, so only keep-alive pings detect a connection that was lost
// without a reset.
constexpr int keepAliveMs = 5'000;
constexpr int keepAliveTimeoutMs = 2'000;
constexpr int minBackoffMs = 100;
// gRPC gives a connection attempt at least this long. It covers three round trips between regions
// 55 ms apart and a retransmitted packet.
constexpr int minConnectTimeoutMs = 700;
constexpr int maxBackoffMs = 1'000;

} // namespace

std::shared_ptr<grpc::Channel> openPeerChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxSendMessageSize(maxPeerMessageBytes);
    arguments.SetMaxReceiveMessageSize(maxPeerMessageBytes);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minConnectTimeoutMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxBackoffMs);
    // A channel that replaces an unresponsive one must not share its connection.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace buckthorngrade
