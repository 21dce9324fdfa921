#include "control/config_publisher.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxRetainedChanges = 1'000;

} // namespace

void config_publisher::configChanged(const wire::config_change &change)
{
    const std::lock_guard lock(m_mutex);
    m_revision = change.revision();
    m_full.reset();
    if (change.has_profile()) {
        m_profiles[change.profile().name()] = change.profile();
    } else if (change.has_drain()) {
        if (change.drain().cancelled())
            m_drains.erase(change.drain().id());
        else
            m_drains[change.drain().id()] = change.drain();
    } else if (change.has_removed()) {
        if (change.removed().cleared())
            m_removed.erase(change.removed().instance());
        else
            m_removed[change.removed().instance()] = change.removed();
    }
    m_changes.push_back(
        {std::make_shared<const wire::config_change>(change), change.ByteSizeLong()});
    if (m_changes.size() > maxRetainedChanges) {
        m_changesBaseRevision = m_changes.front().change->revision();
        m_changes.pop_front();
    }
    notifySubscribers();
}

void config_publisher::configReplaced(const wire::config_full &full)
{
    const std::lock_guard lock(m_mutex);
    m_revision = full.revision();
    m_changesBaseRevision = full.revision();
    m_changes.clear();
    m_profiles.clear();
    m_drains.clear();
    m_removed.clear();
    for (const auto &profile : full.profiles())
        m_profiles[profile.name()] = profile;
    for (const auto &drain : full.drains())
        m_drains[drain.id()] = drain;
    for (const auto &removed : full.removed())
        m_removed[removed.instance()] = removed;
    m_full = std::make_shared<const wire::config_full>(full);
    notifySubscribers();
}

std::uint64_t config_publisher::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

config_publisher::batch config_publisher::batchSince(std::uint64_t knownRevision) const
{
    const std::lock_guard lock(m_mutex);
    batch result;
    result.revision = std::max(knownRevision, m_revision);
    // A subscriber can be ahead if it received its configuration from a control instance that has
    // applied more of the log than this one.
    if (knownRevision >= m_revision)
        return result;
    const auto first = std::ranges::upper_bound(
        m_changes, knownRevision, {},
        [](const retained_change &retained) { return retained.change->revision(); });
    const std::size_t bytes = std::accumulate(
        first, m_changes.end(), std::size_t{0},
        [](std::size_t sum, const retained_change &retained) { return sum + retained.bytes; });
    // A new subscriber always gets the full configuration, because it has none to which changes
    // could be applied.
    if (knownRevision == 0 || knownRevision < m_changesBaseRevision
        || bytes > fullConfigLocked()->ByteSizeLong()) {
        result.full = fullConfigLocked();
        return result;
    }
    std::transform(first, m_changes.end(), std::back_inserter(result.changes),
                   [](const retained_change &retained) { return retained.change; });
    return result;
}

std::shared_ptr<const wire::config_full> config_publisher::fullConfigLocked() const
{
    if (!m_full) {
        auto full = std::make_shared<wire::config_full>();
        full->set_revision(m_revision);
        for (const auto &[name, profile] : m_profiles)
            *full->add_profiles() = profile;
        for (const auto &[id, drain] : m_drains)
            *full->add_drains() = drain;
        for (const auto &[name, removed] : m_removed)
            *full->add_removed() = removed;
        m_full = std::move(full);
    }
    return m_full;
}

std::uint64_t config_publisher::addSubscriber(std::function<void()> notify)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t id = m_nextSubscriber++;
    m_subscribers.emplace(id, std::move(notify));
    return id;
}

void config_publisher::removeSubscriber(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_subscribers.erase(id);
}

std::size_t config_publisher::subscriberCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_subscribers.size();
}

void config_publisher::notifySubscribers()
{
    for (const auto &[id, notify] : m_subscribers)
        notify();
}

} // namespace buckthorngrade
