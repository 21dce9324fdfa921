#include "steering/upstream_selector.h"

#include "steering/block_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

constexpr double latencyUnitMicroseconds = 10'000;
// Score added at the start of an upstream's warm-up, in units of full utilization.
constexpr double slowStartPenalty = 1;
constexpr unsigned maxSamples = 4;
// The weight of a reported load halves in this time. In the model of bench_decisions (90%
// utilization, reports every second), the 99th percentile of latency is 552 ms without the decay,
// which is worse than random choice (452 ms), 310 ms with a half-life of 250 ms and 203 ms with
// 100 ms.
constexpr std::chrono::duration<double, std::milli> loadHalfLife{100};

std::uint64_t nextRandom(std::uint64_t &state)
{
    // splitmix64
    state += 0x9e3779b97f4a7c15;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111eb;
    return z ^ (z >> 31U);
}

// Maps `random` to a uniformly distributed number in [0, bound). `bound` must be less than 2^32.
std::uint32_t randomBelow(std::uint64_t random, std::size_t bound)
{
    return static_cast<std::uint32_t>((random >> 32U) * bound >> 32U);
}

struct sampled_pair
{
    std::uint32_t first = 0;
    std::optional<std::uint32_t> second;
};

// Returns two distinct eligible upstreams of the tier, the only one, or nothing if there is none.
std::optional<sampled_pair> samplePair(std::span<const std::uint32_t> tier,
                                       std::span<const upstream_view> views, std::uint64_t &state)
{
    const std::size_t n = tier.size();
    if (n == 0)
        return std::nullopt;
    for (unsigned attempt = 0; n >= 2 && attempt < maxSamples; ++attempt) {
        const std::uint32_t a = randomBelow(nextRandom(state), n);
        std::uint32_t b = randomBelow(nextRandom(state), n - 1);
        if (b >= a)
            ++b;
        if (ineligibleReason(views[tier[a]]).empty() && ineligibleReason(views[tier[b]]).empty())
            return sampled_pair{tier[a], tier[b]};
    }
    std::vector<std::uint32_t> eligible;
    std::ranges::copy_if(tier, std::back_inserter(eligible), [&](std::uint32_t index) {
        return ineligibleReason(views[index]).empty();
    });
    if (eligible.empty())
        return std::nullopt;
    if (eligible.size() == 1)
        return sampled_pair{eligible.front(), std::nullopt};
    const std::uint32_t a = randomBelow(nextRandom(state), eligible.size());
    std::uint32_t b = randomBelow(nextRandom(state), eligible.size() - 1);
    if (b >= a)
        ++b;
    return sampled_pair{eligible[a], eligible[b]};
}

void addInputs(decision_record &record, const std::string &name, const upstream_view &view,
               const selection_weights &weights)
{
    record.addInput("score " + name, fmt::format("{:.4f}", selectionScore(view, weights)));
    record.addInput("in_flight " + name, fmt::format("{}/{}", view.inFlight, view.slots));
    if (view.latency)
        record.addInput("latency_us " + name, fmt::to_string(view.latency->count()));
    if (view.reportedLoad)
        record.addInput("load " + name, fmt::format("{:.3f}", *view.reportedLoad), view.loadAge);
}

} // namespace

upstream_tiers::upstream_tiers(std::vector<place> places, std::string_view region,
                               std::string_view failureDomain)
    : m_places(std::move(places))
{
    for (std::uint32_t i = 0; i < m_places.size(); ++i) {
        const bool sameDomain = m_places[i].failureDomain == failureDomain;
        const bool sameRegion = m_places[i].region == region;
        m_tiers[sameDomain ? 0 : sameRegion ? 1 : 2].push_back(i);
    }
}

std::string_view ineligibleReason(const upstream_view &view)
{
    if (view.isDrained)
        return "drained";
    if (view.isExcluded)
        return "already-tried";
    if (view.isEjected)
        return "ejected";
    if (!view.hasLinkBudget)
        return "link-budget";
    if (view.inFlight >= view.slots)
        return "no-free-slot";
    if (view.slowStartFraction < 1) {
        const double allowed = std::max(1.0, view.slowStartFraction * view.slots);
        if (!(view.inFlight + 1 <= allowed))
            return "slow-start";
    }
    return {};
}

double selectionScore(const upstream_view &view, const selection_weights &weights)
{
    const double ownUtilization
        = view.slots == 0 ? 1.0 : static_cast<double>(view.inFlight) / view.slots;
    double utilization = ownUtilization;
    if (view.reportedLoad && std::isfinite(*view.reportedLoad) && *view.reportedLoad >= 0
        && *view.reportedLoad <= 1 && view.loadAge >= std::chrono::milliseconds(0))
        utilization += std::max(*view.reportedLoad - ownUtilization, 0.0)
            * std::exp2(-(view.loadAge / loadHalfLife));
    // An upstream without a latency measurement gets one latency unit, so that it ranks neither
    // first nor last.
    double latency = 1;
    if (view.latency && *view.latency >= std::chrono::microseconds(0))
        latency = static_cast<double>(view.latency->count()) / latencyUnitMicroseconds;
    const double warmUpProgress
        = std::isfinite(view.slowStartFraction) ? std::clamp(view.slowStartFraction, 0.0, 1.0) : 0;
    return weights.latency * latency + weights.headroom * utilization
        + slowStartPenalty * (1 - warmUpProgress);
}

selection_decision selectUpstream(const upstream_tiers &tiers, std::span<const upstream_view> views,
                                  const selection_weights &weights, std::uint64_t random,
                                  decision_record *record)
{
    if (views.size() != tiers.places().size())
        throw steering_error(
            "number of upstream views does not match the number of upstream locations");
    constexpr std::array<std::string_view, upstream_tiers::tierCount> tierRules
        = {"same-failure-domain", "same-region", "other-region"};
    selection_decision decision{std::nullopt, "no-eligible-upstream"};
    std::optional<sampled_pair> pair;
    std::uint64_t state = random;
    for (std::size_t tier = 0; tier < upstream_tiers::tierCount && !pair; ++tier) {
        pair = samplePair(tiers.tier(tier), views, state);
        if (!pair)
            continue;
        decision.rule = tierRules[tier];
        decision.upstream = pair->first;
        if (pair->second
            && selectionScore(views[*pair->second], weights)
                < selectionScore(views[pair->first], weights))
            decision.upstream = pair->second;
    }
    if (record != nullptr) {
        record->kind = decision.upstream ? decision_kind::selection : decision_kind::refusal;
        record->setRule(decision.rule);
        const auto &places = tiers.places();
        if (pair) {
            addInputs(*record, places[pair->first].name, views[pair->first], weights);
            if (pair->second) {
                addInputs(*record, places[*pair->second].name, views[*pair->second], weights);
                const std::uint32_t rejected
                    = *decision.upstream == pair->first ? *pair->second : pair->first;
                record->addRuledOut(places[rejected].name, "higher-score");
            }
        }
        record->setOutcome(decision.upstream ? std::string_view(places[*decision.upstream].name)
                                             : "not-run");
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (const std::string_view reason = ineligibleReason(views[i]); !reason.empty())
                record->addRuledOut(places[i].name, reason);
        }
    }
    return decision;
}

} // namespace buckthorngrade
