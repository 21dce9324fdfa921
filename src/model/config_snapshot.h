#pragma once

#include "model/drain.h"
#include "model/profile.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthorngrade {

// The accepted configuration at one revision. A shared snapshot is immutable; an update replaces
// it as a whole.
struct config_snapshot
{
    std::uint64_t revision = 0;
    std::map<std::string, profile> profiles;
    std::vector<drain> drains;
    std::set<std::string> removedInstances;

    bool isDrained(drain_target kind, const std::string &target, wall_time at) const;
};

// Provides the configuration in effect. Implementations are thread-safe.
class config_source
{
public:
    virtual ~config_source() = default;
    // Never returns null. The revision is 0 until the first configuration has been received.
    virtual std::shared_ptr<const config_snapshot> current() const = 0;
};

} // namespace buckthorngrade
