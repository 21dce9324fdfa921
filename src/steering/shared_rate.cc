#include "steering/shared_rate.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace buckthorngrade {

namespace {

using real_seconds = std::chrono::duration<double>;

// Fraction of a cold upstream's rate that is assigned to instances. The rest covers the requests of
// instances whose view of the peers differs.
constexpr double usedColdFraction = 0.9;
// Two requests that an instance sends this much more than an interval apart do not arrive within
// the interval when the first one is delayed in transit.
constexpr std::chrono::milliseconds transitMargin{100};
// Twice the time after which an instance with a share confirms the limit again.
constexpr std::chrono::milliseconds minProbeDelay{20'000};

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

rate_share requestLimitShare(double perSecond, std::size_t instanceCount, std::size_t rank)
{
    const double rate = std::max(perSecond, minRequestLimit);
    const auto interval = std::max(
        requestLimitInterval, std::chrono::ceil<std::chrono::milliseconds>(real_seconds(1 / rate)));
    const std::size_t instances = std::max(std::size_t{1}, instanceCount);
    const double assignedRate = instances == 1 ? rate : rate * limitOvercommitment;
    const auto wholeRequests = std::max(
        std::size_t{1}, static_cast<std::size_t>(assignedRate * real_seconds(interval).count()));
    const std::size_t remainder = rank < wholeRequests % instances ? 1 : 0;
    return {static_cast<std::uint32_t>(wholeRequests / instances + remainder),
            interval + transitMargin};
}

rate_share limitProbeShare(double perSecond, std::size_t instanceCount, std::size_t rank)
{
    const double rate = std::max(perSecond, minRequestLimit);
    const real_seconds spread(4 * static_cast<double>(instanceCount + rank) / rate);
    return {1, minProbeDelay + std::chrono::ceil<std::chrono::milliseconds>(spread)};
}

} // namespace buckthorngrade
