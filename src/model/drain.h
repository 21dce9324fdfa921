#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

enum class drain_target { upstream, failure_domain, region, entry, control };

// Throws settings_error for an unknown word.
drain_target drainTargetFromString(std::string_view word);
std::string_view toString(drain_target target);

// A planned outage of a target that an operator announces in advance.
struct drain
{
    std::string id;
    drain_target kind = drain_target::upstream;
    std::string target;
    std::string reason;
    std::string operatorName;
    wall_time start;
    std::optional<wall_time> end; // unset: until the drain is cancelled

    bool isActive(wall_time at) const { return start <= at && (!end || at < *end); }
};

} // namespace buckthorngrade
