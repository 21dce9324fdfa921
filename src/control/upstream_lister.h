#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/listing_history.h"
#include "model/upstream_listing.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace buckthorngrade {

// Reads the deployment's list of upstreams. Blocking; called from one thread.
class listing_source
{
public:
    virtual ~listing_source() = default;
    // Throws control_error if the list can't be read whole.
    virtual upstream_listing read() = 0;
};

// Keeps a recent list of upstreams. Calls to the list are limited and priced, so only the leader
// reads it, or an instance that hears no leader.
class upstream_lister
{
public:
    // All references must outlive this.
    upstream_lister(listing_source &source, const replicator &log, const clock_source &clock,
                    event_log &events, metric_registry &metrics);

    // Reads the list if that is this instance's task now.
    void run();
    // Adds to `view` what the reporting entry instance does not know of the list. Thread-safe.
    void answer(const wire::node_report &report, steady_time now, wire::node_view &view) const;

private:
    // An instance without a leader begins to read after so long.
    static constexpr std::chrono::milliseconds leaderlessDelay{600};

    listing_source &m_source;
    const replicator &m_log;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_reads;
    metric_counter &m_failures;
    steady_time m_leaderSeen;
    bool m_isFailing = false;
    mutable std::mutex m_mutex;
    listing_history m_history;
};

} // namespace buckthorngrade
