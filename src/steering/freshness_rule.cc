#include "steering/freshness_rule.h"

#include <algorithm>
#include <vector>

namespace buckthorngrade {

freshness_rule::freshness_rule(std::size_t voterCount)
    : m_voterCount(voterCount)
{ }

void freshness_rule::recordStamp(std::uint64_t revision, steady_time receivedAt)
{
    if (revision <= m_applied) {
        m_currentSince = m_currentSince ? std::max(*m_currentSince, receivedAt) : receivedAt;
        return;
    }
    m_pending.push_back({revision, receivedAt});
    if (m_pending.size() > maxPending)
        m_pending.pop_front();
}

void freshness_rule::recordApplied(std::uint64_t revision)
{
    m_applied = std::max(m_applied, revision);
    for (const stamp &item : m_pending) {
        if (item.revision <= m_applied)
            m_currentSince
                = m_currentSince ? std::max(*m_currentSince, item.receivedAt) : item.receivedAt;
    }
    std::erase_if(m_pending, [&](const stamp &item) { return item.revision <= m_applied; });
}

void freshness_rule::recordProbe(std::uint32_t voter, probe_answer answer, steady_time sentAt)
{
    const auto found = m_probes.find(voter);
    if (found == m_probes.end()) {
        if (m_probes.size() < m_voterCount)
            m_probes.emplace(voter, probe{answer, sentAt});
        return;
    }
    if (sentAt >= found->second.sentAt)
        found->second = {answer, sentAt};
}

freshness_decision freshness_rule::decide(steady_time now) const
{
    if (m_currentSince && now < *m_currentSince + stampLifetime)
        return {freshness::current, "stamp", std::nullopt};
    std::vector<steady_time> leaderless;
    std::size_t withLeader = 0;
    for (const auto &[voter, item] : m_probes) {
        if (now >= item.sentAt + proofLifetime)
            continue;
        if (item.answer == probe_answer::has_leader)
            ++withLeader;
        else
            leaderless.push_back(item.sentAt);
    }
    const std::size_t majority = m_voterCount / 2 + 1;
    if (leaderless.size() >= majority) {
        // Of the majority with the newest answers, the oldest answer limits how long the proof
        // holds.
        std::ranges::sort(leaderless, std::greater());
        return {freshness::no_quorum_proven, "majority-without-leader", leaderless[majority - 1]};
    }
    return {freshness::isolated, withLeader > 0 ? "quorum-elsewhere" : "voters-silent",
            std::nullopt};
}

} // namespace buckthorngrade
