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
// Placement is weighted rendezvous hashing: each instance draws a uniform number u from a hash of
// (service, placement key, instance) and scores -ln(u) / weight; the lowest score wins. An instance
// wins with probability proportional to its weight, and losing one moves only what it had won.
//
// Weights come from two steps. Instances are grouped in tiers by distance from the caller: its
// failure domain, its region, then the other regions by link delay. Walking outwards, a tier keeps
// all remaining traffic while its mean load is below the spill threshold, then a share that falls
// linearly to zero at full load; the rest moves on to the next tier. The threshold rises with the
// profile's latency weight (0.45 to 0.85), so headroom-first services spill earlier. Within a tier
// the share is divided by headroom.

// How well an instance is known to run the accepted configuration, best first.
enum class freshness { current, no_quorum_proven, unknown, isolated };
std::string_view toString(freshness value);

struct lookup_candidate
{
    instance_status status;
    freshness confidence = freshness::current;
    bool isDrained = false;
    std::optional<std::chrono::milliseconds> reportAge; // empty: never reported
};

struct lookup_request
{
    std::string_view service;
    std::uint64_t placementKey = 0; // placementKey() of the caller's address
    std::string_view region; // preferred region of the caller; empty: unknown
    std::string_view failureDomain; // if the block's site names one; else empty
    bool shiftUnderWay = false;
    std::uint64_t revision = 0;
};

struct lookup_choice
{
    std::size_t candidate = 0; // index into the candidates
    std::uint32_t weight = 0; // 0 to 100; 0: only if the others fail
};

struct lookup_decision
{
    static constexpr std::size_t maxChoices = 3;
    std::array<lookup_choice, maxChoices> choices{};
    std::size_t count = 0; // 0: no instance can be named
    std::chrono::milliseconds lifetime{0};
    freshness confidence = freshness::current;
    std::string_view rule;

    std::span<const lookup_choice> chosen() const { return std::span(choices).first(count); }
};

// Longest time that a lookup answer is cached, and its bound while a shift is under way.
constexpr std::chrono::milliseconds maxLookupLifetime{3000};
constexpr std::chrono::milliseconds shiftLookupLifetime{1000};
constexpr std::chrono::milliseconds minLookupLifetime{250};
// A table of instances that is older than this says nothing about the others any more.
constexpr std::chrono::milliseconds directoryLifetime{3000};

// How long an answer may be cached that was made with a table of instances of this age. The age
// counts against the longest lifetime: an instance that fell silent is suspected
// suspicion_rule::suspectAfter later, and callers must have stopped using it before 7 s are over.
std::chrono::milliseconds cacheLifetime(std::chrono::milliseconds lifetime,
                                        std::chrono::milliseconds tableAge);

// One-way delay between regions, prepared from the topology's links.
class delay_table
{
public:
    // Assumed where the topology states no link, so that such regions come last.
    static constexpr std::chrono::microseconds unknownDelay{500'000};

    explicit delay_table(const topology &deployment);
    // Zero within a region.
    std::chrono::microseconds between(std::string_view from, std::string_view to) const;

private:
    std::vector<std::string> m_names; // sorted
    std::vector<std::chrono::microseconds> m_delays; // row-major by m_names
};

// The part of a lookup that is the same for all callers of one region: who may be named, with which
// weight. Valid as long as the candidates, the profile and the shift do not change; an entry
// instance keeps one for each (service, region, failure domain).
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
    std::vector<option> options; // nearest first
    std::chrono::milliseconds lifetime{0};
    freshness confidence = freshness::current;
};

// `request.placementKey` is not used. Work is n log n in the candidates.
lookup_plan planLookup(const lookup_request &request, std::span<const lookup_candidate> candidates,
                       const delay_table &delays, const profile &rules);

// Chooses by rendezvous. Work is linear in the plan's options; only those with a weight are hashed.
lookup_decision decideLookup(const lookup_request &request, const lookup_plan &plan);

// Both steps at once. If `record` is given it is filled.
lookup_decision decideLookup(const lookup_request &request,
                             std::span<const lookup_candidate> candidates,
                             const delay_table &delays, const profile &rules,
                             decision_record *record = nullptr);

// Explains `decision`, which was made from a plan of the same candidates.
void explainLookup(decision_record &record, const lookup_request &request,
                   std::span<const lookup_candidate> candidates, const lookup_decision &decision,
                   const profile &rules);

} // namespace buckthorngrade
