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
// Load of an instance whose report is missing or invalid.
constexpr double assumedLoad = 0.5;
// Minimum headroom, so that every instance gets some requests and its load is still measured.
constexpr double minHeadroom = 0.02;
// Nominal delay between failure domains of one region, because the topology does not specify it. It
// only orders the caller's failure domain before the rest of its region.
constexpr microseconds otherDomainDelay{1};

constexpr std::array<std::string_view, 4> freshnessNames
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

using option = lookup_plan::option;

void assignWeights(std::vector<option> &items, const profile &rules)
{
    const double latencyShare
        = rules.latencyWeight / std::max(rules.latencyWeight + rules.headroomWeight, 1e-9);
    const double spillStart = spillStartBase + spillStartRange * latencyShare;
    std::ranges::sort(items, [](const option &a, const option &b) {
        return std::tie(a.delay, a.candidate) < std::tie(b.delay, b.candidate);
    });
    double totalHeadroom = 0;
    for (const option &item : items)
        totalHeadroom += item.headroom;
    double remaining = 1;
    for (auto begin = items.begin(); begin != items.end();) {
        const auto end = std::find_if(
            begin, items.end(), [&](const option &item) { return item.delay != begin->delay; });
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
    // Traffic that no tier keeps is divided by headroom, so that a full system is loaded evenly.
    for (option &item : items)
        item.weight += remaining * item.headroom / totalHeadroom;
}

double rendezvousScore(std::uint64_t seed, const option &item)
{
    const std::uint64_t hash = XXH64(item.name.data(), item.name.size(), seed);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return -std::log(uniform) / item.weight;
}

// The best `capacity` options in the order in which the caller uses them: first by ascending score,
// then those without a weight, nearest first.
class ranking
{
public:
    static constexpr std::size_t capacity = lookup_decision::maxChoices;

    void add(const option &item, double score)
    {
        std::size_t at = m_size;
        while (at > 0 && score < m_entries[at - 1].score)
            --at;
        if (at == capacity)
            return;
        m_size = std::min(m_size + 1, capacity);
        for (std::size_t i = m_size - 1; i > at; --i)
            m_entries[i] = m_entries[i - 1];
        m_entries[at] = {&item, score};
    }
    std::size_t size() const { return m_size; }
    const option &operator[](std::size_t index) const { return *m_entries[index].item; }
    void replaceLast(const option &item) { m_entries[m_size - 1].item = &item; }

private:
    struct entry
    {
        const option *item = nullptr;
        double score = 0;
    };
    std::array<entry, capacity> m_entries;
    std::size_t m_size = 0;
};

} // namespace

std::chrono::milliseconds cacheLifetime(std::chrono::milliseconds lifetime,
                                        std::chrono::milliseconds tableAge)
{
    return std::min(lifetime, std::max(maxLookupLifetime - tableAge, minLookupLifetime));
}

std::string_view toString(freshness value)
{
    return freshnessNames[static_cast<std::size_t>(value)];
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

lookup_plan planLookup(const lookup_request &request, std::span<const lookup_candidate> candidates,
                       const delay_table &delays, const profile &rules)
{
    lookup_plan plan;
    plan.lifetime = std::min(rules.lookupLifetime, maxLookupLifetime);
    if (request.shiftUnderWay)
        plan.lifetime = std::min(plan.lifetime, shiftLookupLifetime);
    bool found = false;
    for (const lookup_candidate &candidate : candidates) {
        if (!exclusionReason(candidate).empty())
            continue;
        if (!found || candidate.freshnessLevel < plan.freshnessLevel)
            plan.freshnessLevel = candidate.freshnessLevel;
        found = true;
    }
    plan.options.reserve(candidates.size());
    for (std::size_t i = 0; found && i < candidates.size(); ++i) {
        const lookup_candidate &candidate = candidates[i];
        if (!exclusionReason(candidate).empty() || candidate.freshnessLevel != plan.freshnessLevel)
            continue;
        microseconds delay = request.region.empty()
            ? microseconds(0)
            : delays.between(request.region, candidate.status.region);
        if (delay == microseconds(0) && !request.failureDomain.empty()
            && candidate.status.failureDomain != request.failureDomain)
            delay = otherDomainDelay;
        plan.options.push_back({i, candidate.status.name, candidate.status.failureDomain, delay,
                                headroomOf(candidate), 0});
    }
    if (!plan.options.empty())
        assignWeights(plan.options, rules);
    return plan;
}

lookup_decision decideLookup(const lookup_request &request, const lookup_plan &plan)
{
    lookup_decision decision;
    decision.rule = "no-instance";
    decision.lifetime = plan.lifetime;
    decision.freshnessLevel = plan.freshnessLevel;
    const std::uint64_t seed
        = XXH64(request.service.data(), request.service.size(), request.placementKey);
    constexpr double noScore = std::numeric_limits<double>::infinity();
    ranking best;
    for (const option &item : plan.options) {
        if (item.weight > 0)
            best.add(item, rendezvousScore(seed, item));
        else if (best.size() < ranking::capacity)
            best.add(item, noScore);
    }
    if (best.size() == 0)
        return decision;
    // If all choices are in one failure domain, the last one is replaced by an option from another
    // failure domain, so that the answer survives the loss of that domain.
    const std::string &domain = best[0].failureDomain;
    if (best.size() == ranking::capacity && best[1].failureDomain == domain
        && best[2].failureDomain == domain) {
        const option *other = nullptr;
        double otherScore = noScore;
        for (const option &item : plan.options) {
            if (item.failureDomain == domain || (item.weight <= 0 && other != nullptr))
                continue;
            const double score = item.weight > 0 ? rendezvousScore(seed, item) : noScore;
            if (other == nullptr || score < otherScore) {
                other = &item;
                otherScore = score;
            }
        }
        if (other != nullptr)
            best.replaceLast(*other);
    }
    decision.count = best.size();
    double total = 0;
    for (std::size_t i = 0; i < decision.count; ++i)
        total += best[i].weight;
    for (std::size_t i = 0; i < decision.count; ++i)
        decision.choices[i]
            = {best[i].candidate,
               static_cast<std::uint32_t>(std::lround(100 * best[i].weight / total))};
    decision.rule = best[0].delay == plan.options.front().delay ? "nearest" : "spill";
    return decision;
}

lookup_decision decideLookup(const lookup_request &request,
                             std::span<const lookup_candidate> candidates,
                             const delay_table &delays, const profile &rules,
                             decision_record *record)
{
    const lookup_decision decision
        = decideLookup(request, planLookup(request, candidates, delays, rules));
    if (record != nullptr)
        explainLookup(*record, request, candidates, decision, rules);
    return decision;
}

void explainLookup(decision_record &record, const lookup_request &request,
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
        else if (candidate.freshnessLevel != decision.freshnessLevel)
            record.addRuledOut(candidate.status.name, toString(candidate.freshnessLevel));
    }
}

} // namespace buckthorngrade
