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

    // Waits until the channel is connected, at most `timeout`. Call this before a call that has no
    // deadline: gRPC makes progress on a connection only while a call or this function polls it,
    // otherwise a refused connection is tried again after 5 s at the earliest.
    static bool waitForConnection(const member &target, std::chrono::milliseconds timeout);

    const std::vector<member> &members() const { return m_members; }
    // Null if there is none of that id.
    const member *find(std::uint32_t id) const;

private:
    std::vector<member> m_members;
};

} // namespace buckthorngrade
