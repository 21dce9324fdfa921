#include "control/upstream_lister.h"

#include "control/control_state.h"

#include <xxhash.h>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

// Cold upstreams warm up between two readings; the time left is not part of the digest unless it
// appears or ends, or every reading would look like a change.
std::uint64_t digestOf(const upstream_listing &listing)
{
    std::string text;
    for (const listed_upstream &upstream : listing.upstreams)
        text += fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n", upstream.id, upstream.service,
                            upstream.address, upstream.failureDomain, upstream.slots,
                            upstream.isDraining, upstream.coldFor.count() > 0, upstream.startedMs);
    return XXH3_64bits(text.data(), text.size()) | 1U;
}

} // namespace

upstream_lister::upstream_lister(listing_source &source, const replicator &log,
                                 const clock_source &clock, event_log &events,
                                 metric_registry &metrics)
    : m_source(source)
    , m_log(log)
    , m_clock(clock)
    , m_events(events)
    , m_reads(metrics.counter("buckthorngrade_list_reads_total", "outcome=\"read\""))
    , m_failures(metrics.counter("buckthorngrade_list_reads_total", "outcome=\"failed\""))
    , m_leaderSeen(clock.now())
{ }

void upstream_lister::run()
{
    const role_view view = m_log.view();
    const steady_time now = m_clock.now();
    if (view.leader != 0 && view.isConnected)
        m_leaderSeen = now;
    const bool isLeaderless = now - m_leaderSeen > leaderlessDelay;
    if (!(view.isLeader && view.isConnected) && !isLeaderless)
        return;
    try {
        auto listing = std::make_shared<upstream_listing>(m_source.read());
        m_reads.add();
        const std::uint64_t digest = digestOf(*listing);
        const std::lock_guard lock(m_mutex);
        if (m_isFailing || digest != m_held.digest)
            m_events.write(event_id::listing_changed,
                           {{"upstreams", listing->upstreams.size()}, {"digest", digest}});
        m_isFailing = false;
        m_held = {std::move(listing), digest};
    } catch (const control_error &failure) {
        m_failures.add();
        if (!m_isFailing)
            m_events.write(event_id::listing_unavailable, {{"reason", failure.what()}});
        m_isFailing = true;
    }
}

upstream_lister::held_listing upstream_lister::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

} // namespace buckthorngrade
