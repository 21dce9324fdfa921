#pragma once

#include "base/clock.h"
#include "base/duty_thread.h"
#include "base/event_log.h"
#include "entry/config_store.h"
#include "entry/feed_client.h"
#include "entry/leader_hint.h"
#include "link/control_channels.h"
#include "model/settings.h"
#include "steering/freshness_rule.h"

#include <functional>
#include <mutex>
#include <vector>

namespace buckthorngrade {

// Keeps track of whether this instance runs the accepted configuration (docs/design.md, 5.3). Each
// second it asks the control instance that serves the feed. When it is not current, it asks every
// voter directly. A voter's port that refuses a TCP connection proves that its process is dead;
// gRPC hides that from its calls, so the connection is tried apart from them.
class freshness_client
{
public:
    // All references must outlive this. `onProof` gets the time of each proof that no quorum
    // exists.
    freshness_client(const settings &config, const control_channels &channels,
                     const feed_client &feed, const config_store &store, leader_hint &leader,
                     const clock_source &clock, event_log &events,
                     std::function<void(steady_time)> onProof);

    freshness_decision decide() const;
    // A snapshot is applied and confirmed, or no quorum is proven.
    bool isReady() const;

private:
    void run();
    bool askFeedServer();
    void askAllVoters();

    const settings &m_settings;
    const control_channels &m_channels;
    const feed_client &m_feed;
    const config_store &m_store;
    leader_hint &m_leader;
    const clock_source &m_clock;
    event_log &m_events;
    const std::function<void(steady_time)> m_onProof;
    mutable std::mutex m_mutex;
    mutable freshness_rule m_rule;
    freshness m_lastState = freshness::isolated;
    duty_thread m_thread;
};

enum class connect_outcome { connected, refused, silent };
// Tries to connect to each address at the same time; what is not connected or refused by `timeout`
// is silent.
std::vector<connect_outcome> tryConnect(const std::vector<std::string> &addresses,
                                        std::chrono::milliseconds timeout);

} // namespace buckthorngrade
