#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/periodic_thread.h"
#include "entry/config_store.h"
#include "entry/feed_client.h"
#include "entry/leader_hint.h"
#include "link/control_channels.h"
#include "model/settings.h"
#include "steering/freshness_tracker.h"

#include <functional>
#include <mutex>
#include <vector>

namespace buckthorngrade {

// Tracks whether this instance runs the latest accepted configuration (docs/design.md, 5.3). Each
// second it probes the control instance that serves the feed. While this instance is not current,
// it also probes every voter directly. A refused TCP connection to a voter's port proves that the
// voter's process is dead; gRPC calls do not report this, so a plain TCP connection is tried first.
class freshness_client
{
public:
    // All references must outlive this. `onNoQuorumProof` is called with the time of each proof
    // that no quorum exists.
    freshness_client(const settings &config, const control_channels &channels,
                     const feed_client &feed, const config_store &store, leader_hint &leader,
                     const clock_source &clock, event_log &events,
                     std::function<void(steady_time)> onNoQuorumProof);

    freshness_decision decide() const;
    // Returns true if a snapshot is applied and it is either confirmed or proven that no quorum
    // exists.
    bool isReady() const;

private:
    void run();
    bool probeFeedServer();
    void probeAllVoters();

    const settings &m_settings;
    const control_channels &m_channels;
    const feed_client &m_feed;
    const config_store &m_store;
    leader_hint &m_leader;
    const clock_source &m_clock;
    event_log &m_events;
    const std::function<void(steady_time)> m_onNoQuorumProof;
    mutable std::mutex m_mutex;
    mutable freshness_tracker m_rule;
    freshness m_lastState = freshness::isolated;
    periodic_thread m_thread;
};

enum class connect_outcome { connected, refused, no_response };
// Connects to all addresses concurrently. An address that has neither accepted nor refused the
// connection by `timeout`, or has no route, is reported as `no_response`.
std::vector<connect_outcome> tryConnect(const std::vector<std::string> &addresses,
                                        std::chrono::milliseconds timeout);

} // namespace buckthorngrade
