#pragma once

#include "base/clock.h"
#include "steering/lookup_policy.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

namespace buckthorngrade {

// Determines whether an entry instance runs the latest accepted configuration.
//
// A freshness stamp states that a quorum confirmed the leader, and at which revision the
// configuration was. An instance that has applied that revision is current for `stampLifetime`
// after it received the stamp. Otherwise the voters' answers to direct probes decide. If a majority
// of the voters answered within `proofLifetime` that it knows no leader, or refused the connection,
// no control instance can accept a change. The time of an answer is the time at which its probe was
// *sent*, so a slow answer proves nothing about later times.

enum class probe_answer {
    has_leader,
    no_leader,
    refused, // connection refused: the process is not running
};

struct freshness_decision
{
    freshness state = freshness::isolated;
    std::string_view rule;
    // Set with no_quorum_proven: the time at which the oldest probe of the majority was sent. A
    // slot lease may be renewed from this time.
    std::optional<steady_time> provenAt;
};

class freshness_tracker
{
public:
    static constexpr std::chrono::seconds stampLifetime{3};
    static constexpr std::chrono::seconds proofLifetime{3};

    explicit freshness_tracker(std::size_t voterCount);

    void recordStamp(std::uint64_t revision, steady_time receivedAt);
    // Ignores revisions before the latest applied one.
    void recordApplied(std::uint64_t revision);
    // `sentAt` is when the probe was sent. Ignores answers to probes older than the latest answered
    // one of the same voter, and voters in excess of the voter count.
    void recordProbe(std::uint32_t voter, probe_answer answer, steady_time sentAt);

    freshness_decision decide(steady_time now) const;
    std::uint64_t appliedRevision() const { return m_appliedRevision; }

private:
    struct stamp
    {
        std::uint64_t revision = 0;
        steady_time receivedAt;
    };
    struct probe
    {
        probe_answer answer = probe_answer::has_leader;
        steady_time sentAt;
    };
    // Number of stamps kept whose revision is not applied yet. A few are enough, the newest ones.
    static constexpr std::size_t maxPendingStamps = 8;

    std::size_t m_voterCount;
    std::uint64_t m_appliedRevision = 0;
    // Receipt of the newest stamp whose revision is applied.
    std::optional<steady_time> m_currentSince;
    std::deque<stamp> m_pendingStamps;
    std::map<std::uint32_t, probe> m_latestProbes;
};

} // namespace buckthorngrade
