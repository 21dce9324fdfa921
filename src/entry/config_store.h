#pragma once

#include "model/config_snapshot.h"
#include "store.pb.h"

#include <cstdint>
#include <memory>
#include <mutex>

namespace buckthorngrade {

// The active configuration of this instance, built from the configuration feed. The revision only
// increases: an update that is not newer than the current snapshot is ignored, whichever control
// instance sent it. Thread-safe.
class config_store final : public config_source
{
public:
    config_store();

    std::shared_ptr<const config_snapshot> current() const override;

    // Both return true if the update is newer and now active. They throw settings_error and leave
    // the configuration unchanged if a profile is malformed.
    bool replace(const wire::config_full &full);
    bool apply(const wire::config_change &change);

private:
    void publish(std::shared_ptr<const config_snapshot> next);

    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
};

drain drainFromWire(const wire::drain_record &record);
// Parses the YAML of a profile version. Throws settings_error if it is malformed.
profile profileFromWire(const wire::profile_version &version);

} // namespace buckthorngrade
