#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/listing_history.h"
#include "model/upstream_listing.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Reads the deployment's list of upstreams. Blocking; called from one thread.
class listing_source
{
public:
    using page_handler = std::function<void(const upstream_listing &page)>;

    virtual ~listing_source() = default;
    // Reads the whole list, page after page, or, if there are `domains`, the parts of these failure
    // domains beside each other. Hands on each page as it arrives, with the time before it was
    // asked for. Throws control_error if the list can't be read whole.
    virtual void read(const std::vector<std::string> &domains, const page_handler &onPage) = 0;
};

// Keeps a recent list of upstreams. Calls to the list are limited and priced, so only the leader
// reads it, or a voter that hears no leader. A page takes a round trip, so the failure
// domains of a long list are read beside each other, and what a page says holds as soon as it is
// read. Only the first list of all, and the absence of an upstream, need all pages.
class upstream_lister
{
public:
    // `domains` are the deployment's failure domains. All references must outlive this.
    upstream_lister(listing_source &source, std::vector<std::string> domains, const replicator &log,
                    const clock_source &clock, event_log &events, metric_registry &metrics);

    // Reads the list if that is this instance's task now.
    void run();
    // Adds to `view` what the reporting entry instance does not know of the list. Thread-safe.
    void answer(const wire::node_report &report, steady_time now, wire::node_view &view) const;

private:
    void readList();
    // Decides how the next reading is made, after one of so many pages and upstreams.
    void chooseReading(std::size_t pages, std::size_t largestPage, std::size_t upstreams);
    void logIf(bool hasChanged);

    // An instance without a leader begins to read after so long.
    static constexpr std::chrono::milliseconds leaderlessDelay{600};
    // Of the list held, for pages to be merged into it: a few readings of the usual length.
    static constexpr std::chrono::milliseconds longestMergeAge{2'500};

    // Pages read one after another, at a round trip of 110 ms between regions each: half a second
    // of the 3 s that a leaving upstream may go on getting requests.
    static constexpr std::size_t mostPagesInTurn = 4;

    listing_source &m_source;
    const std::vector<std::string> m_domains;
    const replicator &m_log;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_reads;
    metric_counter &m_failures;
    steady_time m_leaderSeen;
    bool m_isFailing = false;
    bool m_readsByDomain = true; // nothing is known of the first list's length
    std::size_t m_pageSize = 0; // upstreams on a full page; 0: unknown
    mutable std::mutex m_mutex;
    listing_history m_history;
};

} // namespace buckthorngrade
