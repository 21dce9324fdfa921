#include "link/control_channels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>

namespace buckthorngrade {

namespace {

constexpr int keepaliveMs = 2'000;
constexpr int maxReconnectBackoffMs = 1'000;
constexpr int maxMessageBytes = 4 * 1024 * 1024;

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // Detects a dead connection within two keepalive periods.
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs / 5);
    // Instances are addressed by IP address, so a proxy set in the environment must not be used.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

control_channels::control_channels(const settings &config)
{
    for (const control_member &known : config.members) {
        const auto channel = openChannel(known.grpcAddress);
        m_members.push_back({known.id, channel, wire::state_feed::NewStub(channel),
                             wire::instance_link::NewStub(channel)});
    }
}

bool control_channels::waitForConnection(const member &target, std::chrono::milliseconds timeout)
{
    return target.channel->WaitForConnected(std::chrono::system_clock::now() + timeout);
}

const control_channels::member *control_channels::find(std::uint32_t id) const
{
    const auto found = std::ranges::find(m_members, id, &member::id);
    return found == m_members.end() ? nullptr : &*found;
}

} // namespace buckthorngrade
