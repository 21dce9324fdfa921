#pragma once

#include "base/clock.h"
#include "steering/decision_record.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Chooses an upstream for one request by power of two choices.
//
// The tiers are the same failure domain, the same region, and all other upstreams. Two upstreams
// are sampled at random from the nearest tier that has eligible ones, and the one with the lower
// score is chosen. Comparing only two avoids herding: with delayed measurements, all instances
// would otherwise choose the same best upstream. If a sample contains an ineligible upstream,
// sampling is retried a few times before the whole tier is scanned, so the usual cost does not
// depend on the number of upstreams.

// State of an upstream at the time of the decision, as known to this instance.
struct upstream_view
{
    std::uint32_t slots = 0; // Slots that this instance may use.
    std::uint32_t inFlight = 0; // Requests in flight from this instance.
    std::optional<std::chrono::microseconds> latency; // Smoothed; empty if never measured.
    std::optional<double> reportedLoad; // 0 to 1; may be missing or invalid.
    std::chrono::milliseconds loadAge{0};
    double slowStartFraction = 1; // Fraction of the slots that may be used during warm-up.
    bool isEjected = false;
    bool isDrained = false;
    bool hasLinkBudget = true; // The link to the upstream's region has budget left.
    bool isExcluded = false; // The upstream was already tried for this request.
};

// Locations of the upstreams, grouped by distance from this instance. Immutable.
class upstream_tiers
{
public:
    static constexpr std::size_t tierCount = 3;

    struct place
    {
        std::string name;
        std::string region;
        std::string failureDomain;
    };
    upstream_tiers(std::vector<place> places, std::string_view region,
                   std::string_view failureDomain);

    const std::vector<place> &places() const { return m_places; }
    std::span<const std::uint32_t> tier(std::size_t index) const { return m_tiers[index]; }

private:
    std::vector<place> m_places;
    std::array<std::vector<std::uint32_t>, tierCount> m_tiers;
};

struct selection_weights
{
    double latency = 0.5;
    double headroom = 0.5;
};

struct selection_decision
{
    std::optional<std::uint32_t> upstream; // Index into the places; empty if none is eligible.
    std::string_view rule;
};

// Returns why the upstream cannot take a request now, or an empty string if it can.
std::string_view ineligibleReason(const upstream_view &view);
// Returns the score of an upstream; lower is better. Latency counts in units of 10 ms. A load that
// is missing, old or invalid is replaced by the utilization of this instance's own slots, and a
// reported load never lowers the score below that. The weight of a reported load decays with its
// age, because all instances act on the same report.
double selectionScore(const upstream_view &view, const selection_weights &weights);

// `views` must have the same order as `tiers.places()`; throws steering_error if their sizes
// differ. `random` must be uniformly distributed over 64 bits. The same inputs give the same
// decision. Fills `record` if it is not null.
selection_decision selectUpstream(const upstream_tiers &tiers, std::span<const upstream_view> views,
                                  const selection_weights &weights, std::uint64_t random,
                                  decision_record *record = nullptr);

} // namespace buckthorngrade
