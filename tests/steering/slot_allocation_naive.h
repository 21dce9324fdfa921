#pragma once

#include "steering/slot_allocator.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// Reference implementation of the distribution by slot_allocator, without leases or reserved slots.
// Assigns one slot at a time, round-robin over the instances with unmet demand, at the nearest
// upstream with a free slot. Returns the number of slots of each instance.
inline std::map<std::string, std::uint32_t>
allocateSlotsNaive(const std::vector<slot_pool> &pools, const std::vector<slot_member> &members,
                   const std::map<std::string, std::uint32_t> &demands, double regionLimit)
{
    std::vector<std::uint32_t> used(pools.size());
    std::map<std::string, std::uint32_t> result;
    for (bool found = true; found;) {
        found = false;
        for (const slot_member &member : members) {
            if (result[member.instance] >= demands.at(member.instance))
                continue;
            std::size_t best = pools.size();
            int bestTier = 3;
            for (std::size_t i = 0; i < pools.size(); ++i) {
                std::uint32_t regionUsed = 0;
                std::uint32_t regionSlots = 0;
                for (std::size_t k = 0; k < pools.size(); ++k) {
                    if (pools[k].region == pools[i].region) {
                        regionUsed += used[k];
                        regionSlots += pools[k].slots;
                    }
                }
                const int tier = pools[i].failureDomain == member.failureDomain ? 0
                    : pools[i].region == member.region                          ? 1
                                                                                : 2;
                if (used[i] < pools[i].slots && tier < bestTier
                    && regionUsed < static_cast<std::uint32_t>(regionLimit * regionSlots + 1e-9)) {
                    best = i;
                    bestTier = tier;
                }
            }
            if (best == pools.size())
                continue;
            ++used[best];
            ++result[member.instance];
            found = true;
        }
    }
    return result;
}

} // namespace buckthorngrade
