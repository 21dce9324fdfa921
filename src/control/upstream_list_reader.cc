#include "control/upstream_list_reader.h"

#include "control/control_state.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

upstream_list_reader::upstream_list_reader(listing_source &source, std::vector<std::string> domains,
                                           const replicator &log, const clock_source &clock,
                                           event_log &events, metric_registry &metrics)
    : m_source(source)
    , m_domains(std::move(domains))
    , m_log(log)
    , m_clock(clock)
    , m_events(events)
    , m_reads(metrics.counter("buckthorngrade_list_reads_total", "outcome=\"read\""))
    , m_failures(metrics.counter("buckthorngrade_list_reads_total", "outcome=\"failed\""))
    , m_lastLeaderContact(clock.now())
{ }

void upstream_list_reader::run()
{
    const role_view view = m_log.view();
    const steady_time now = m_clock.now();
    if (view.leader != 0 && view.isConnected)
        m_lastLeaderContact = now;
    const bool isLeaderless = view.isVoter && now - m_lastLeaderContact > leaderlessDelay;
    if (!(view.isLeader && view.isConnected) && !isLeaderless)
        return;
    try {
        readList();
        m_reads.add();
        const std::lock_guard lock(m_mutex);
        if (m_isFailing)
            logListing();
        m_isFailing = false;
    } catch (const control_error &failure) {
        m_failures.add();
        if (!m_isFailing)
            m_events.write(event_id::listing_unavailable, {{"reason", failure.what()}});
        m_isFailing = true;
    }
}

void upstream_list_reader::readList()
{
    upstream_listing completeList;
    // A page merged into an old list would make the whole list appear recent.
    const bool isRecent = [&] {
        const std::lock_guard lock(m_mutex);
        return !m_history.isEmpty() && m_clock.now() - m_history.readAt() < maxMergeAge;
    }();
    std::size_t pages = 0;
    std::size_t largestPage = 0;
    const auto takePage = [&](const upstream_listing &page) {
        ++pages;
        largestPage = std::max(largestPage, page.upstreams.size());
        completeList.readAt = page.readAt;
        completeList.upstreams.insert(completeList.upstreams.end(), page.upstreams.begin(),
                                      page.upstreams.end());
        const std::lock_guard lock(m_mutex);
        if (isRecent)
            announceIf(m_history.merge(page));
    };
    m_source.read(m_readsByDomain ? m_domains : std::vector<std::string>(), takePage);
    chooseReadMode(pages, largestPage, completeList.upstreams.size());
    const std::lock_guard lock(m_mutex);
    announceIf(isRecent ? m_history.keepOnly(completeList) : m_history.add(completeList));
}

void upstream_list_reader::chooseReadMode(std::size_t pages, std::size_t largestPage,
                                          std::size_t upstreams)
{
    // If each failure domain has a single page, none of the pages has to be full, so the page size
    // can't be derived.
    if (!m_readsByDomain || pages > m_domains.size())
        m_pageSize = largestPage;
    m_readsByDomain = m_pageSize > 0 && upstreams > maxSequentialPages * m_pageSize;
}

void upstream_list_reader::announceIf(bool hasChanged)
{
    if (!hasChanged)
        return;
    logListing();
    m_changed.notify_all();
}

void upstream_list_reader::logListing()
{
    m_events.write(event_id::listing_changed,
                   {{"upstreams", m_history.upstreamCount()}, {"digest", m_history.digest()}});
}

void upstream_list_reader::addUpdate(const wire::node_report &report, steady_time now,
                                     wire::node_view &view) const
{
    const std::lock_guard lock(m_mutex);
    m_history.addUpdate(report, now, view);
}

wire::listing_changes upstream_list_reader::waitForChanges(std::uint64_t digest,
                                                           std::chrono::milliseconds hold)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, hold, [&] { return m_history.digest() != digest; });
    return m_history.changesSince(digest, m_clock.now());
}

void upstream_list_reader::follow(const wire::listing_changes &changes, steady_time readAt)
{
    const std::lock_guard lock(m_mutex);
    announceIf(m_history.follow(changes, readAt));
}

std::uint64_t upstream_list_reader::digest() const
{
    const std::lock_guard lock(m_mutex);
    return m_history.digest();
}

} // namespace buckthorngrade
