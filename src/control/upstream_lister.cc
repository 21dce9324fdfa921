#include "control/upstream_lister.h"

#include "control/control_state.h"

namespace buckthorngrade {

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
        upstream_listing listing = m_source.read();
        m_reads.add();
        const std::lock_guard lock(m_mutex);
        if (m_history.add(std::move(listing)) || m_isFailing)
            m_events.write(event_id::listing_changed,
                           {{"upstreams", m_history.upstreams()}, {"digest", m_history.digest()}});
        m_isFailing = false;
    } catch (const control_error &failure) {
        m_failures.add();
        if (!m_isFailing)
            m_events.write(event_id::listing_unavailable, {{"reason", failure.what()}});
        m_isFailing = true;
    }
}

void upstream_lister::answer(const wire::node_report &report, steady_time now,
                             wire::node_view &view) const
{
    const std::lock_guard lock(m_mutex);
    m_history.answer(report, now, view);
}

} // namespace buckthorngrade
