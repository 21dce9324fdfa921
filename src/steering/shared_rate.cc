#include "steering/shared_rate.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace buckthorngrade {

namespace {

// Fraction of a cold upstream's rate that is assigned to instances. The rest covers the requests of
// instances whose view of the peers differs.
constexpr double usedColdFraction = 0.9;

} // namespace

std::optional<std::size_t> shareRank(const std::vector<peer_instance> &instances,
                                     std::string_view self, std::string_view upstream,
                                     std::string_view upstreamRegion)
{
    const std::uint64_t upstreamHash = hashOf(upstream);
    const auto keyOf = [&](const peer_instance &instance) {
        return std::tuple(instance.region != upstreamRegion,
                          combineHashes(hashOf(instance.name), upstreamHash), instance.name);
    };
    const auto own = std::ranges::find(instances, self, &peer_instance::name);
    if (own == instances.end())
        return std::nullopt;
    const auto ownKey = keyOf(*own);
    return static_cast<std::size_t>(std::ranges::count_if(
        instances, [&](const peer_instance &other) { return keyOf(other) < ownKey; }));
}

rate_share coldStartShare(const std::vector<peer_instance> &instances, std::string_view self,
                          std::string_view upstream, std::string_view upstreamRegion,
                          double perSecond)
{
    const auto wholeRequests
        = static_cast<std::size_t>(std::max(0.0, std::floor(perSecond * usedColdFraction)));
    const auto rank = shareRank(instances, self, upstream, upstreamRegion);
    if (!rank || *rank >= wholeRequests)
        return {0, coldStartInterval};
    return {static_cast<std::uint32_t>(wholeRequests / std::min(instances.size(), wholeRequests)),
            coldStartInterval};
}

} // namespace buckthorngrade
