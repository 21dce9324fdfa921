#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <xxhash.h>

namespace buckthorngrade {

namespace {

// Cost of a cold start as a fraction of the latency target. Latency targets are set so that a cold
// start misses them.
constexpr double coldStartCost = 0.9;
// Cost of using a warm upstream other than the preferred one, as a fraction of the latency target.
// It keeps requests at the preferred upstream while that is no worse, so that additional copies of
// the object do not displace other objects.
constexpr double secondCopyCost = 0.1;
// Fraction of an upstream's slots up to which it accepts cold starts.
constexpr double maxColdStartLoad = 0.7;
// Cost of a failed attempt, as a multiple of the latency target.
constexpr double failureCost = 2.0;

// Returns the score for weighted rendezvous hashing. The candidate with the highest score is the
// preferred one.
double rendezvousScore(const placement_candidate &candidate, std::uint64_t key)
{
    return -candidate.slots / std::log(toUnitInterval(combineHashes(candidate.hash, key)));
}

bool hasRoomForColdStart(const placement_candidate &candidate)
{
    return candidate.isWarm || candidate.load + 1 <= maxColdStartLoad * candidate.slots;
}

} // namespace

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t values[2] = {a, b};
    return XXH3_64bits(values, sizeof values);
}

double toUnitInterval(std::uint64_t hash)
{
    constexpr unsigned unusedBits = 11; // a double has 53 bits of precision
    return (static_cast<double>(hash >> unusedBits) + 0.5) * 0x1.0p-53;
}

double expectedMs(const placement_candidate &candidate, const placement_request &request,
                  bool isFirst)
{
    const double target = request.latencyTarget.count();
    const double queued = std::max(0.0, candidate.load + 1 - candidate.slots);
    const double wait = queued * candidate.serviceTime.count() / candidate.slots;
    const double copyCost = !request.affinity || isFirst ? 0
        : candidate.isWarm                               ? secondCopyCost * target
                                                         : coldStartCost * target;
    return candidate.roundTrip.count() + wait + candidate.serviceTime.count() + copyCost
        + candidate.failureShare * failureCost * target;
}

std::optional<placement> placeRequest(std::span<const placement_candidate> candidates,
                                      const placement_request &request)
{
    if (candidates.empty())
        return std::nullopt;
    const std::uint64_t key = request.affinity.value_or(request.random);
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const placement_candidate &candidate : candidates)
        scores.push_back(rendezvousScore(candidate, key));
    const auto first = static_cast<std::size_t>(std::ranges::max_element(scores) - scores.begin());
    std::size_t best = first;
    double bestMs = expectedMs(candidates[first], request, true);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i == first || (request.affinity && !hasRoomForColdStart(candidates[i])))
            continue;
        const double cost = expectedMs(candidates[i], request, false);
        // Ties are broken by the higher score.
        if (cost < bestMs || (cost == bestMs && scores[i] > scores[best])) {
            best = i;
            bestMs = cost;
        }
    }
    return placement{best, std::chrono::duration<double, std::milli>(bestMs),
                     candidates[best].load + 1 > candidates[best].slots, best == first};
}

} // namespace buckthorngrade
