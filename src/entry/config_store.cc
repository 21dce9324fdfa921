#include "entry/config_store.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

namespace {

wall_time fromUnixMs(std::int64_t value)
{
    return wall_time(std::chrono::milliseconds(value));
}

} // namespace

drain drainFromWire(const wire::drain_record &record)
{
    drain result;
    result.id = record.id();
    result.kind = static_cast<drain_target>(record.kind() - wire::TARGET_UPSTREAM);
    result.target = record.target();
    result.reason = record.reason();
    result.operatorName = record.operator_name();
    result.start = fromUnixMs(record.start_ms());
    if (record.end_ms() != 0)
        result.end = fromUnixMs(record.end_ms());
    return result;
}

profile profileFromWire(const wire::profile_version &version)
{
    profile result = parseProfile(version.yaml());
    result.version = version.version();
    return result;
}

config_store::config_store()
    : m_current(std::make_shared<const config_snapshot>())
{ }

std::shared_ptr<const config_snapshot> config_store::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void config_store::publish(std::shared_ptr<const config_snapshot> next)
{
    const std::lock_guard lock(m_mutex);
    m_current = std::move(next);
}

bool config_store::replace(const wire::config_full &full)
{
    if (full.revision() <= current()->revision)
        return false;
    auto next = std::make_shared<config_snapshot>();
    next->revision = full.revision();
    for (const auto &version : full.profiles())
        next->profiles[version.name()] = profileFromWire(version);
    std::ranges::transform(full.drains(), std::back_inserter(next->drains), drainFromWire);
    for (const auto &removed : full.removed())
        next->removedInstances.insert(removed.instance());
    publish(std::move(next));
    return true;
}

bool config_store::apply(const wire::config_change &change)
{
    const auto before = current();
    if (change.revision() <= before->revision)
        return false;
    auto next = std::make_shared<config_snapshot>(*before);
    next->revision = change.revision();
    if (change.has_profile()) {
        next->profiles[change.profile().name()] = profileFromWire(change.profile());
    } else if (change.has_drain()) {
        std::erase_if(next->drains,
                      [&](const drain &known) { return known.id == change.drain().id(); });
        if (!change.drain().cancelled())
            next->drains.push_back(drainFromWire(change.drain()));
    } else if (change.has_removed()) {
        if (change.removed().cleared())
            next->removedInstances.erase(change.removed().instance());
        else
            next->removedInstances.insert(change.removed().instance());
    }
    publish(std::move(next));
    return true;
}

} // namespace buckthorngrade
