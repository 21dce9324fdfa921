#pragma once

#include "base/clock.h"
#include "model/instance_status.h"
#include "model/profile.h"
#include "model/topology.h"
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

// Chooses the entry instances that a caller is told to use.
//
// Placement uses weighted rendezvous hashing. The hash of (service, placement key, instance) gives
// each instance a uniform number u and the score -ln(u) / weight; the lowest score is chosen first.
// An instance is chosen with probability proportional to its weight, and losing an instance moves
// only the callers that were assigned to it.
//
// The weights are computed in two steps. First, instances are grouped into tiers by distance from
// the caller: its failure domain, its region, then the other regions by link delay. Starting at the
// nearest tier, a tier keeps all remaining traffic while its mean load is below the spill
// threshold. Above it, the share that the tier keeps falls linearly to zero at full load, and the
// rest goes to the next tier. The threshold rises with the profile's latency weight from 0.45 to
// 0.85, so that services that prefer headroom spill earlier. Second, the share of a tier is divided
// among its instances by headroom.

// How certain it is that an instance runs the accepted configuration, best first.
enum class freshness { current, no_quorum_proven, unknown, isolated };
std::string_view toString(freshness value);

struct lookup_candidate
{
    instance_status status;
    freshness freshnessLevel = freshness::current;
    bool isDrained = false;
    std::optional<std::chrono::milliseconds> reportAge; // Empty if the instance never reported.
};

struct lookup_request
{
    std::string_view service;
    std::uint64_t placementKey = 0; // placementKey() of the caller's address.
    std::string_view region; // Preferred region of the caller; empty if unknown.
    std::string_view failureDomain; // Empty if the block's site is not a failure domain.
    bool shiftUnderWay = false;
    std::uint64_t revision = 0;
};

struct lookup_choice
{
    std::size_t candidate = 0; // Index into the candidates.
    std::uint32_t weight = 0; // 0 to 100. 0 means to use it only if the others fail.
};

struct lookup_decision
{
    static constexpr std::size_t maxChoices = 3;
    std::array<lookup_choice, maxChoices> choices{};
    std::size_t count = 0; // 0 if there is no suitable instance.
    std::chrono::milliseconds lifetime{0};
    freshness freshnessLevel = freshness::current;
    std::string_view rule;

    std::span<const lookup_choice> chosen() const { return std::span(choices).first(count); }
};

// Maximum time for which a lookup answer may be cached.
constexpr std::chrono::milliseconds maxLookupLifetime{3000};
// The maximum while a shift is in progress.
constexpr std::chrono::milliseconds shiftLookupLifetime{1000};
// Lower bound of the maximum that cacheLifetime() computes for an old table of instances.
constexpr std::chrono::milliseconds minLookupLifetime{250};
// Maximum age at which a table of instances is used to judge the other instances.
constexpr std::chrono::milliseconds directoryLifetime{3000};

// Returns how long an answer may be cached that was computed from a table of instances of this age.
// The age is subtracted from the maximum lifetime: an instance that stops reporting is suspected
// only after failure_detector::suspectAfter, and callers must stop using it within 7 s.
std::chrono::milliseconds cacheLifetime(std::chrono::milliseconds lifetime,
                                        std::chrono::milliseconds tableAge);

// One-way delays between regions, from the links of the topology.
class delay_table
{
public:
    // Delay between regions for which the topology has no link, so that such regions come last.
    static constexpr std::chrono::microseconds unknownDelay{500'000};

    explicit delay_table(const topology &deployment);
    // Zero within a region.
    std::chrono::microseconds between(std::string_view from, std::string_view to) const;

private:
    std::vector<std::string> m_names; // Sorted.
    std::vector<std::chrono::microseconds> m_delays; // Row-major matrix, indexed as m_names.
};

// The part of a lookup that is the same for all callers of one region: the eligible instances and
// their weights. Valid as long as the candidates, the profile and the state of the shift do not
// change. An entry instance keeps one plan for each (service, region, failure domain).
struct lookup_plan
{
    struct option
    {
        std::size_t candidate = 0;
        std::string name;
        std::string failureDomain;
        std::chrono::microseconds delay{0};
        double headroom = 0;
        double weight = 0;
    };
    std::vector<option> options; // Nearest first.
    std::chrono::milliseconds lifetime{0};
    freshness freshnessLevel = freshness::current;
};

// Ignores `request.placementKey`. Takes O(n log n) time in the number of candidates.
lookup_plan planLookup(const lookup_request &request, std::span<const lookup_candidate> candidates,
                       const delay_table &delays, const profile &rules);

// Chooses instances by rendezvous hashing. Takes linear time in the number of options; only options
// with a weight are hashed.
lookup_decision decideLookup(const lookup_request &request, const lookup_plan &plan);

// Plans and decides in one call. Fills `record` if it is not null.
lookup_decision decideLookup(const lookup_request &request,
                             std::span<const lookup_candidate> candidates,
                             const delay_table &delays, const profile &rules,
                             decision_record *record = nullptr);

// Fills `record` with the explanation of `decision`, which must come from a plan of the same
// candidates.
void explainLookup(decision_record &record, const lookup_request &request,
                   std::span<const lookup_candidate> candidates, const lookup_decision &decision,
                   const profile &rules);

} // namespace buckthorngrade
