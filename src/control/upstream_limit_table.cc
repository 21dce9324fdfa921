#include "control/upstream_limit_table.h"

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxIdBytes = 256;

bool isReadable(const wire::upstream_limit &reported)
{
    return reported.id().size() <= maxIdBytes && reported.age_ms() >= 0
        && (!reported.is_limited()
            || (std::isfinite(reported.per_second()) && reported.per_second() >= 0));
}

} // namespace

upstream_limit_table::upstream_limit_table(std::uint64_t epoch)
    : m_epoch(epoch)
{ }

void upstream_limit_table::update(const wire::node_report &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_records,
                  [now](const auto &item) { return now - item.second.observedAt > retention; });
    for (const wire::upstream_limit &reported : report.limits()) {
        if (!isReadable(reported))
            continue;
        const auto age = std::chrono::milliseconds(reported.age_ms());
        if (age > retention)
            continue;
        const auto key = std::pair(reported.id(), reported.started_ms());
        const auto found = m_records.find(key);
        if (found == m_records.end() && m_records.size() >= maxUpstreams)
            continue;
        const bool isNew = found == m_records.end();
        record &known = isNew ? m_records[key] : found->second;
        const steady_time observedAt = now - age;
        if (!isNew && observedAt < known.observedAt)
            continue;
        const std::optional<double> perSecond
            = reported.is_limited() ? std::optional(reported.per_second()) : std::nullopt;
        if (isNew || perSecond != known.perSecond
            || observedAt - known.passedOnAt >= refreshInterval) {
            known.passedOnAt = observedAt;
            known.version = ++m_version;
        }
        known.perSecond = perSecond;
        known.observedAt = observedAt;
    }
}

void upstream_limit_table::addUpdate(const wire::node_report &report, steady_time now,
                                     wire::node_view &view) const
{
    const std::lock_guard lock(m_mutex);
    view.set_limits_epoch(m_epoch);
    view.set_limits_version(m_version);
    const std::uint64_t known
        = report.limits_epoch() == m_epoch ? report.limits_version() : std::uint64_t{0};
    for (const auto &[key, found] : m_records) {
        if (found.version <= known)
            continue;
        wire::upstream_limit &added = *view.add_limits();
        added.set_id(key.first);
        added.set_started_ms(key.second);
        added.set_is_limited(found.perSecond.has_value());
        added.set_per_second(found.perSecond.value_or(0));
        added.set_age_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - found.observedAt).count());
    }
}

} // namespace buckthorngrade
