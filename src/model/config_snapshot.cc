#include "model/config_snapshot.h"

#include <algorithm>

namespace buckthorngrade {

bool config_snapshot::isDrained(drain_target kind, const std::string &target, wall_time at) const
{
    return std::ranges::any_of(drains, [&](const drain &candidate) {
        return candidate.kind == kind && candidate.target == target && candidate.isActive(at);
    });
}

} // namespace buckthorngrade
