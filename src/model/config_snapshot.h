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

// The accepted configuration at one revision. Immutable once shared; replaced whole.
struct config_snapshot
{
    std::uint64_t revision = 0;
    std::map<std::string, profile> profiles;
    std::vector<drain> drains;
    std::set<std::string> removedInstances;

    bool isDrained(drain_target kind, const std::string &target, wall_time at) const;
};

// Gives the configuration that is in force. Thread-safe.
class config_source
{
public:
    virtual ~config_source() = default;
    // Never null; revision 0 until the first configuration arrived.
    virtual std::shared_ptr<const config_snapshot> current() const = 0;
};

} // namespace buckthorngrade
