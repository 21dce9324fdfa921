#pragma once

#include "link.grpc.pb.h"
#include "model/settings.h"

#include <grpcpp/channel.h>

#include <chrono>
#include <memory>
#include <vector>

namespace buckthorngrade {

// gRPC channels to the control instances, shared by all clients of a process.
class control_channels
{
public:
    struct member
    {
        std::uint32_t id = 0;
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<wire::state_feed::Stub> feed;
        std::unique_ptr<wire::instance_link::Stub> link;
    };

    explicit control_channels(const settings &config);

    // Waits at most `timeout` until the channel is connected, and returns whether it is. Must be
    // called before a call without a deadline: gRPC makes progress on a connection only while a
    // call or this function polls it. Otherwise it retries a refused connection only after 5 s or
    // more.
    static bool waitForConnection(const member &target, std::chrono::milliseconds timeout);

    const std::vector<member> &members() const { return m_members; }
    // Returns null if there is no member with this id.
    const member *find(std::uint32_t id) const;

private:
    std::vector<member> m_members;
};

} // namespace buckthorngrade
