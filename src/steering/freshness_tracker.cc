#include "steering/freshness_tracker.h"

#include <algorithm>
#include <vector>

namespace buckthorngrade {

freshness_tracker::freshness_tracker(std::size_t voterCount)
    : m_voterCount(voterCount)
{ }

void freshness_tracker::recordStamp(std::uint64_t revision, steady_time receivedAt)
{
    if (revision <= m_appliedRevision) {
        m_currentSince = m_currentSince ? std::max(*m_currentSince, receivedAt) : receivedAt;
        return;
    }
    m_pendingStamps.push_back({revision, receivedAt});
    if (m_pendingStamps.size() > maxPendingStamps)
        m_pendingStamps.pop_front();
}

void freshness_tracker::recordApplied(std::uint64_t revision)
{
    m_appliedRevision = std::max(m_appliedRevision, revision);
    for (const stamp &item : m_pendingStamps) {
        if (item.revision <= m_appliedRevision)
            m_currentSince
                = m_currentSince ? std::max(*m_currentSince, item.receivedAt) : item.receivedAt;
    }
    std::erase_if(m_pendingStamps,
                  [&](const stamp &item) { return item.revision <= m_appliedRevision; });
}

void freshness_tracker::recordProbe(std::uint32_t voter, probe_answer answer, steady_time sentAt)
{
    const auto found = m_latestProbes.find(voter);
    if (found == m_latestProbes.end()) {
        if (m_latestProbes.size() < m_voterCount)
            m_latestProbes.emplace(voter, probe{answer, sentAt});
        return;
    }
    if (sentAt >= found->second.sentAt)
        found->second = {answer, sentAt};
}

freshness_decision freshness_tracker::decide(steady_time now) const
{
    if (m_currentSince && now < *m_currentSince + stampLifetime)
        return {freshness::current, "stamp", std::nullopt};
    std::vector<steady_time> leaderlessSentAt;
    std::size_t votersWithLeader = 0;
    for (const auto &[voter, item] : m_latestProbes) {
        if (now >= item.sentAt + proofLifetime)
            continue;
        if (item.answer == probe_answer::has_leader)
            ++votersWithLeader;
        else
            leaderlessSentAt.push_back(item.sentAt);
    }
    const std::size_t majority = m_voterCount / 2 + 1;
    if (leaderlessSentAt.size() >= majority) {
        // Of the majority with the newest answers, the oldest answer limits how long the proof
        // holds.
        std::ranges::sort(leaderlessSentAt, std::greater());
        return {freshness::no_quorum_proven, "majority-without-leader",
                leaderlessSentAt[majority - 1]};
    }
    return {freshness::isolated, votersWithLeader > 0 ? "quorum-elsewhere" : "voters-silent",
            std::nullopt};
}

} // namespace buckthorngrade
