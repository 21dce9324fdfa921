#pragma once

#include "agreement/replicator.h"
#include "base/event_log.h"
#include "control/upstream_list_reader.h"
#include "link.grpc.pb.h"
#include "link/retired_channels.h"

#include <grpcpp/channel.h>
#include <grpcpp/support/status.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace buckthorngrade {

// Copies the list of upstreams from the leader, so that every control instance can answer entry
// instances with the same versions of it. Does nothing on the leader, or without contact with one;
// then upstream_list_reader may read the list by itself.
class listing_follower
{
public:
    using address_function = std::function<std::string(replica_id)>;

    // An unchanged list is confirmed by the leader once in this time.
    static constexpr std::chrono::milliseconds hold{400};
    // Time for the answer in addition to `hold`: several round trips between regions.
    static constexpr std::chrono::milliseconds callTimeout{900};
    // Number of calls in succession that time out after which the connection is replaced.
    static constexpr std::uint32_t timeoutsUntilReconnect = 2;

    // All references must outlive this object.
    listing_follower(upstream_list_reader &list, const replicator &log, address_function addressOf,
                     const clock_source &clock, event_log &events);

    // Makes one call to the leader, which takes at most `hold` and `callTimeout`.
    void run();

private:
    void connect(replica_id leader);
    void recordFailure(const grpc::Status &status);

    upstream_list_reader &m_list;
    const replicator &m_log;
    const address_function m_addressOf;
    const clock_source &m_clock;
    event_log &m_events;
    replica_id m_leader = 0; // that m_channel leads to; 0: none
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::listing_link::Stub> m_stub;
    retired_channels m_retiredChannels;
    std::uint32_t m_timeouts = 0;
    bool m_isFailing = false;
};

} // namespace buckthorngrade
