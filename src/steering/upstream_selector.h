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
// Two eligible upstreams of the nearest tier (same failure domain, same region, others) that has
// any are drawn at random and the one with the lower score wins. The comparison of two avoids the
// herd that follows from every instance choosing the same best upstream on lagging measurements.
// Draws are retried a few times in place; only when they hit too many ineligible upstreams is the
// tier scanned, so the usual cost does not depend on the number of upstreams.

// What this instance knows of one upstream at the time of the decision.
struct upstream_view
{
    std::uint32_t slots = 0; // that this instance may use
    std::uint32_t inFlight = 0; // of this instance
    std::optional<std::chrono::microseconds> latency; // smoothed; empty: never measured
    std::optional<double> reportedLoad; // 0 to 1; may be missing or nonsense
    std::chrono::milliseconds loadAge{0};
    double slowStart = 1; // share of its slots that a warming upstream may use
    bool isEjected = false;
    bool isDrained = false;
    bool isLinkOpen = true; // the link to its region has budget
    bool isExcluded = false; // already tried for this request
};

// The unchanging part: where the upstreams are, seen from this instance.
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
    std::optional<std::uint32_t> upstream; // index into the places; empty: none is eligible
    std::string_view rule;
};

// Why `view` cannot take a request now; empty if it can.
std::string_view ineligibleReason(const upstream_view &view);
// Lower is better. Latency in units of 10 ms; a load that is missing, old or nonsense is replaced
// by this instance's own use, and a reported load never makes an upstream look emptier than that.
// A reported load loses weight with its age, because all instances act on the same report.
double selectionScore(const upstream_view &view, const selection_weights &weights);

// `views` parallels `tiers.places()`. `random` must be uniform over 64 bits; the same inputs give
// the same decision. If `record` is given it is filled.
selection_decision selectUpstream(const upstream_tiers &tiers, std::span<const upstream_view> views,
                                  const selection_weights &weights, std::uint64_t random,
                                  decision_record *record = nullptr);

} // namespace buckthorngrade
