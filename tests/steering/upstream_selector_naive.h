#pragma once

#include "steering/upstream_selector.h"

#include <optional>
#include <span>

namespace buckthorngrade {

// Reference for selectUpstream(): scans all upstreams for the best score in the nearest tier that
// has eligible upstreams.
inline std::optional<std::uint32_t> selectUpstreamNaive(const upstream_tiers &tiers,
                                                        std::span<const upstream_view> views,
                                                        const selection_weights &weights)
{
    std::optional<std::uint32_t> best;
    for (std::size_t tier = 0; tier < upstream_tiers::tierCount && !best; ++tier) {
        for (const std::uint32_t index : tiers.tier(tier)) {
            if (!ineligibleReason(views[index]).empty())
                continue;
            if (!best
                || selectionScore(views[index], weights) < selectionScore(views[*best], weights))
                best = index;
        }
    }
    return best;
}

} // namespace buckthorngrade
