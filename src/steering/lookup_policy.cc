#include "steering/lookup_policy.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthorngrade {

namespace {

using std::chrono::microseconds;

constexpr double spillStartBase = 0.45;
constexpr double spillStartRange = 0.4;
// Load of an instance whose report is missing or nonsense.
constexpr double assumedLoad = 0.5;
// Keeps every instance reachable, so that its load stays measured.
constexpr double minHeadroom = 0.02;
// Stands for the distance between failure domains of one region, which the topology does not
// state. It only orders the caller's own failure domain before the rest of its region.
constexpr microseconds otherDomainDelay{1};

constexpr std::array<std::string_view, 4> freshnessWords
    = {"current", "no-quorum-proven", "unknown", "isolated"};

std::string_view exclusionReason(const lookup_candidate &candidate)
{
    if (candidate.isDrained)
        return "drained";
    switch (candidate.status.state) {
    case instance_state::live:
        return {};
    case instance_state::suspected:
        return "suspected";
    case instance_state::dead:
        return "dead";
    case instance_state::leaving:
        return "leaving";
    case instance_state::removed:
        return "removed";
    case instance_state::not_ready:
        return "not-ready";
    }
    return "not-ready";
}

double headroomOf(const lookup_candidate &candidate)
{
    const double load = candidate.status.load;
    const bool usable = std::isfinite(load) && load >= 0 && load <= 1;
    return std::max(1 - (usable ? load : assumedLoad), minHeadroom);
}

struct ranked
{
    std::size_t candidate = 0;
    microseconds delay{0};
    double headroom = 0;
    double weight = 0;
    double score = 0;
};

void assignWeights(std::vector<ranked> &items, const profile &rules)
{
    const double latencyShare
        = rules.latencyWeight / std::max(rules.latencyWeight + rules.headroomWeight, 1e-9);
    const double spillStart = spillStartBase + spillStartRange * latencyShare;
    std::ranges::sort(items, [](const ranked &a, const ranked &b) {
        return std::tie(a.delay, a.candidate) < std::tie(b.delay, b.candidate);
    });
    double totalHeadroom = 0;
    for (const ranked &item : items)
        totalHeadroom += item.headroom;
    double remaining = 1;
    for (auto begin = items.begin(); begin != items.end();) {
        const auto end = std::find_if(
            begin, items.end(), [&](const ranked &item) { return item.delay != begin->delay; });
        double headroom = 0;
        for (auto item = begin; item != end; ++item)
            headroom += item->headroom;
        const double load = 1 - headroom / static_cast<double>(end - begin);
        const double kept = remaining * std::clamp((1 - load) / (1 - spillStart), 0.0, 1.0);
        remaining -= kept;
        for (auto item = begin; item != end; ++item)
            item->weight = kept * item->headroom / headroom;
        begin = end;
    }
    // What no tier keeps is divided by headroom, so that a full system is loaded evenly.
    for (ranked &item : items)
        item.weight += remaining * item.headroom / totalHeadroom;
}

double rendezvousScore(std::uint64_t seed, const std::string &name, double weight)
{
    const std::uint64_t hash = XXH64(name.data(), name.size(), seed);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return weight > 0 ? -std::log(uniform) / weight : std::numeric_limits<double>::infinity();
}

void fillRecord(decision_record &record, const lookup_request &request,
                std::span<const lookup_candidate> candidates, const lookup_decision &decision,
                const profile &rules)
{
    record.kind = decision_kind::lookup;
    record.revision = request.revision;
    record.profileVersion = rules.version;
    record.setRule(decision.rule);
    record.addInput("service", request.service);
    record.addInput("region", request.region);
    record.addInput("placement_key", fmt::format("{:x}", request.placementKey));
    std::string outcome;
    for (const lookup_choice &choice : decision.chosen()) {
        const lookup_candidate &candidate = candidates[choice.candidate];
        outcome += fmt::format("{}{}:{}", outcome.empty() ? "" : " ", candidate.status.name,
                               choice.weight);
        record.addInput("load " + candidate.status.name,
                        fmt::format("{:.3f}", candidate.status.load), candidate.reportAge);
    }
    record.setOutcome(outcome);
    for (const lookup_candidate &candidate : candidates) {
        if (const std::string_view reason = exclusionReason(candidate); !reason.empty())
            record.addRuledOut(candidate.status.name, reason);
        else if (candidate.confidence != decision.confidence)
            record.addRuledOut(candidate.status.name, toString(candidate.confidence));
    }
}

} // namespace

std::string_view toString(freshness value)
{
    return freshnessWords[static_cast<std::size_t>(value)];
}

delay_table::delay_table(const topology &deployment)
{
    for (const region_spec &region : deployment.regions)
        m_names.push_back(region.name);
    for (const link_spec &link : deployment.links) {
        m_names.push_back(link.from);
        m_names.push_back(link.to);
    }
    std::ranges::sort(m_names);
    const auto repeated = std::ranges::unique(m_names);
    m_names.erase(repeated.begin(), repeated.end());
    const std::size_t n = m_names.size();
    m_delays.assign(n * n, unknownDelay);
    const auto indexOf = [&](const std::string &name) {
        return static_cast<std::size_t>(std::ranges::lower_bound(m_names, name) - m_names.begin());
    };
    for (const link_spec &link : deployment.links)
        m_delays[indexOf(link.from) * n + indexOf(link.to)] = link.delay;
    for (std::size_t i = 0; i < n; ++i)
        m_delays[i * n + i] = microseconds(0);
}

microseconds delay_table::between(std::string_view from, std::string_view to) const
{
    if (from == to)
        return microseconds(0);
    const auto rowFound = std::ranges::lower_bound(m_names, from);
    const auto columnFound = std::ranges::lower_bound(m_names, to);
    if (rowFound == m_names.end() || *rowFound != from || columnFound == m_names.end()
        || *columnFound != to)
        return unknownDelay;
    const auto row = static_cast<std::size_t>(rowFound - m_names.begin());
    return m_delays[row * m_names.size() + static_cast<std::size_t>(columnFound - m_names.begin())];
}

lookup_decision decideLookup(const lookup_request &request,
                             std::span<const lookup_candidate> candidates,
                             const delay_table &delays, const profile &rules,
                             decision_record *record)
{
    lookup_decision decision;
    decision.rule = "no-instance";
    decision.lifetime = std::min(rules.lookupLifetime, maxLookupLifetime);
    if (request.shiftUnderWay)
        decision.lifetime = std::min(decision.lifetime, shiftLookupLifetime);

    bool found = false;
    for (const lookup_candidate &candidate : candidates) {
        if (!exclusionReason(candidate).empty())
            continue;
        if (!found || candidate.confidence < decision.confidence)
            decision.confidence = candidate.confidence;
        found = true;
    }
    std::vector<ranked> items;
    items.reserve(candidates.size());
    for (std::size_t i = 0; found && i < candidates.size(); ++i) {
        const lookup_candidate &candidate = candidates[i];
        if (!exclusionReason(candidate).empty() || candidate.confidence != decision.confidence)
            continue;
        microseconds delay = request.region.empty()
            ? microseconds(0)
            : delays.between(request.region, candidate.status.region);
        if (delay == microseconds(0) && !request.failureDomain.empty()
            && candidate.status.failureDomain != request.failureDomain)
            delay = otherDomainDelay;
        items.push_back({i, delay, headroomOf(candidate), 0, 0});
    }
    if (!items.empty()) {
        assignWeights(items, rules);
        const std::uint64_t seed
            = XXH64(request.service.data(), request.service.size(), request.placementKey);
        for (ranked &item : items)
            item.score = rendezvousScore(seed, candidates[item.candidate].status.name, item.weight);
        decision.count = std::min(items.size(), lookup_decision::maxChoices);
        std::ranges::partial_sort(items,
                                  items.begin() + static_cast<std::ptrdiff_t>(decision.count),
                                  [](const ranked &a, const ranked &b) {
                                      return std::tie(a.score, a.delay, a.candidate)
                                          < std::tie(b.score, b.delay, b.candidate);
                                  });
        // The last choice comes from another failure domain if the first ones share one, so that
        // the answer survives the loss of that domain.
        const auto domainOf = [&](const ranked &item) -> const std::string & {
            return candidates[item.candidate].status.failureDomain;
        };
        const auto last = items.begin() + static_cast<std::ptrdiff_t>(decision.count) - 1;
        if (decision.count == lookup_decision::maxChoices
            && std::all_of(items.begin(), last + 1, [&](const ranked &item) {
                   return domainOf(item) == domainOf(items.front());
               })) {
            auto best = items.end();
            for (auto item = last + 1; item != items.end(); ++item) {
                if (domainOf(*item) != domainOf(items.front())
                    && (best == items.end()
                        || std::tie(item->score, item->delay) < std::tie(best->score, best->delay)))
                    best = item;
            }
            if (best != items.end())
                std::iter_swap(last, best);
        }
        double total = 0;
        for (std::size_t i = 0; i < decision.count; ++i)
            total += items[i].weight;
        for (std::size_t i = 0; i < decision.count; ++i)
            decision.choices[i]
                = {items[i].candidate,
                   static_cast<std::uint32_t>(std::lround(100 * items[i].weight / total))};
        const bool allNear
            = items.front().delay == std::ranges::min(items, {}, &ranked::delay).delay;
        decision.rule = allNear ? "nearest" : "spill";
    }
    if (record != nullptr)
        fillRecord(*record, request, candidates, decision, rules);
    return decision;
}

} // namespace buckthorngrade
