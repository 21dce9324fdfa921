#pragma once

#include "model/config_snapshot.h"
#include "store.pb.h"

#include <cstdint>
#include <memory>
#include <mutex>

namespace buckthorngrade {

// The configuration in force at this instance, built from the feed. Revisions only grow: anything
// older than what is held is ignored, from whichever control instance it comes. Thread-safe.
class config_store final : public config_source
{
public:
    config_store();

    std::shared_ptr<const config_snapshot> current() const override;

    // Both return true if the revision in force grew. They throw settings_error, and change
    // nothing, if a profile can't be read.
    bool replace(const wire::config_full &full);
    bool apply(const wire::config_change &change);

private:
    void publish(std::shared_ptr<const config_snapshot> next);

    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
};

// Model form of a drain record.
drain drainFromWire(const wire::drain_record &record);
// Model form of an accepted profile version.
profile profileFromWire(const wire::profile_version &version);

} // namespace buckthorngrade
