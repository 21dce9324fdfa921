#include "carrier/limit_tracker.h"

#include <algorithm>
#include <chrono>

namespace buckthorngrade {

namespace {

// Older observations are not reported, because a later one is likely to exist.
constexpr std::chrono::seconds maxReportedAge{30};
// Time that a report and an answer take in transit, which the ages in them do not include. An
// instance trusts its own observation of the same time.
constexpr std::chrono::milliseconds transitTime{200};

} // namespace

void limit_tracker::describe(const upstream_table &upstreams, steady_time now,
                             wire::node_report &report) const
{
    report.set_limits_epoch(m_epoch);
    report.set_limits_version(m_version);
    for (const auto &[id, upstream] : upstreams.all()) {
        const auto observation = upstream->notices->unsharedLimit();
        if (!observation || now - observation->at > maxReportedAge)
            continue;
        if (report.limits_size() >= maxReportedLimits)
            return;
        wire::upstream_limit &added = *report.add_limits();
        added.set_id(id);
        added.set_started_ms(upstream->listed.startedMs);
        added.set_is_limited(observation->perSecond.has_value());
        added.set_per_second(observation->perSecond.value_or(0));
        added.set_age_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - observation->at).count());
    }
}

void limit_tracker::apply(const wire::node_view &view, steady_time now, upstream_table &upstreams)
{
    if (view.limits_epoch() == 0)
        return;
    m_epoch = view.limits_epoch();
    m_version = view.limits_version();
    for (const wire::upstream_limit &shared : view.limits())
        upstreams.recordSharedLimit(
            shared.id(), shared.started_ms(),
            {shared.is_limited() ? std::optional(shared.per_second()) : std::nullopt,
             now - transitTime
                 - std::chrono::milliseconds(std::max<std::int64_t>(0, shared.age_ms()))});
}

} // namespace buckthorngrade
