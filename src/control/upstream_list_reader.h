#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/listing_history.h"
#include "model/upstream_listing.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Source of the deployment's list of upstreams. Calls block and are made from one thread.
class listing_source
{
public:
    using page_handler = std::function<void(const upstream_listing &page)>;

    virtual ~listing_source() = default;
    // Reads the whole list. With `domains` the parts of these failure domains are read
    // concurrently, otherwise all pages are read sequentially. Calls `onPage` for each page as it
    // arrives; its readAt is the time before the page was requested. Throws control_error if the
    // list can't be read completely.
    virtual void read(const std::vector<std::string> &domains, const page_handler &onPage) = 0;
};

// Reads the list of upstreams periodically. Reads are rate-limited and charged, so only the leader
// makes them, or a voter that has no contact with a leader. A page takes a round trip, so the
// failure domains of a long list are read concurrently, and each page takes effect as soon as it
// arrives. The first list, and one that replaces an old list, takes effect only when it is
// complete; an upstream is removed only after a complete read without it.
class upstream_list_reader
{
public:
    // `domains` are the deployment's failure domains. All references must outlive this object.
    upstream_list_reader(listing_source &source, std::vector<std::string> domains,
                         const replicator &log, const clock_source &clock, event_log &events,
                         metric_registry &metrics);

    // Reads the list if this instance is the leader, or a voter without contact with a leader.
    void run();
    // Adds to `view` the changes of the list that the reporting entry instance lacks. Thread-safe.
    void addUpdate(const wire::node_report &report, steady_time now, wire::node_view &view) const;
    // Returns the versions of the list after `digest`. If there are none, waits for one for up to
    // `hold`. Thread-safe.
    wire::listing_changes waitForChanges(std::uint64_t digest, std::chrono::milliseconds hold);
    // Applies changes of the list of another control instance, which was read at `readAt`.
    // Thread-safe. Throws control_error if they are malformed.
    void follow(const wire::listing_changes &changes, steady_time readAt);
    // Returns the digest of the current list, 0 if there is none. Thread-safe.
    std::uint64_t digest() const;

private:
    void readList();
    // Chooses between sequential and concurrent reading for the next read. The arguments describe
    // the last read.
    void chooseReadMode(std::size_t pages, std::size_t largestPage, std::size_t upstreams);
    // Logs a change of the list and wakes up those that wait for it. Requires that m_mutex is held.
    void announceIf(bool hasChanged);
    void logListing();

    // A voter starts to read the list after this time without contact with a leader.
    static constexpr std::chrono::milliseconds leaderlessDelay{600};
    // Pages are merged into the list only if it is younger than this, which is the time of a few
    // typical reads. An older list is replaced when a complete read ends.
    static constexpr std::chrono::milliseconds maxMergeAge{2'500};

    // Greatest number of pages that are read sequentially. Each takes a round trip of 110 ms
    // between regions, together half a second of the 3 s for which a leaving upstream may still
    // receive requests.
    static constexpr std::size_t maxSequentialPages = 4;

    listing_source &m_source;
    const std::vector<std::string> m_domains;
    const replicator &m_log;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_reads;
    metric_counter &m_failures;
    steady_time m_lastLeaderContact;
    bool m_isFailing = false;
    bool m_readsByDomain = true; // true at first, because the length of the list is unknown
    std::size_t m_pageSize = 0; // upstreams on a full page; 0 if unknown
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    listing_history m_history;
};

} // namespace buckthorngrade
