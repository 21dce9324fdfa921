#pragma once

#include "base/clock.h"

#include <grpcpp/channel.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Keeps replaced channels for a while. gRPC 1.51 aborts the process when a channel is destroyed
// while it is connecting, so a channel is kept for longer than a connection attempt takes.
class retired_channels
{
public:
    static constexpr std::chrono::seconds lifetime{5};

    void add(std::shared_ptr<grpc::Channel> channel, steady_time now)
    {
        m_channels.push_back({now, std::move(channel)});
    }
    void removeExpired(steady_time now)
    {
        std::erase_if(m_channels,
                      [now](const entry &retired) { return now - retired.since > lifetime; });
    }

private:
    struct entry
    {
        steady_time since;
        std::shared_ptr<grpc::Channel> channel;
    };

    std::vector<entry> m_channels;
};

} // namespace buckthorngrade
