#pragma once

#include "control/control_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace buckthorngrade {

// Holds the current configuration and its latest changes for subscribers, and notifies the
// subscribers of each change. A subscriber receives either all changes after its revision or the
// full configuration, whichever is smaller. Thread-safe.
class config_publisher final : public config_listener
{
public:
    void configChanged(const wire::config_change &change) override;
    void configReplaced(const wire::config_full &full) override;

    std::uint64_t revision() const;

    struct batch
    {
        // Null if `changes` apply to the revision that the subscriber has.
        std::shared_ptr<const wire::config_full> full;
        std::vector<std::shared_ptr<const wire::config_change>> changes;
        std::uint64_t revision = 0; // revision of the subscriber after it has applied the batch
    };
    // Returns what a subscriber at `knownRevision` needs to become current. `full` is null and
    // `changes` is empty if it is up to date.
    batch batchSince(std::uint64_t knownRevision) const;

    // `notify` is called after each change with the lock of this object held, so it must only
    // signal another thread. Returns an id for removeSubscriber().
    std::uint64_t addSubscriber(std::function<void()> notify);
    void removeSubscriber(std::uint64_t id);
    std::size_t subscriberCount() const;

private:
    struct retained_change
    {
        std::shared_ptr<const wire::config_change> change;
        std::size_t bytes = 0;
    };
    std::shared_ptr<const wire::config_full> fullConfigLocked() const;
    void notifySubscribers();

    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 0;
    std::uint64_t m_changesBaseRevision = 0; // m_changes contains every change after this revision
    std::deque<retained_change> m_changes;
    std::map<std::string, wire::profile_version> m_profiles;
    std::map<std::string, wire::drain_record> m_drains;
    std::map<std::string, wire::remove_instance> m_removed;
    mutable std::shared_ptr<const wire::config_full> m_full; // cached; null after a change
    std::map<std::uint64_t, std::function<void()>> m_subscribers;
    std::uint64_t m_nextSubscriber = 1;
};

} // namespace buckthorngrade
