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

// How one entry instance knows whether it runs the accepted configuration.
//
// A freshness stamp says that a quorum confirmed the leader and that the configuration was at a
// revision. An instance that has applied that revision is current for `stampLifetime` after it
// received the stamp. Otherwise the answers of the voters to direct probes decide: if a majority
// said within `proofLifetime` that it knows no leader, or refused the connection, no change can be
// accepted anywhere. Times of answers are those at which the probes were *sent*, so a slow answer
// proves nothing about later times.

enum class probe_answer {
    has_leader,
    no_leader,
    refused, // connection refused: the process is dead
};

struct freshness_decision
{
    freshness state = freshness::isolated;
    std::string_view rule;
    // With no_quorum_proven: when the oldest probe of the majority was sent; what a slot lease may
    // be renewed from.
    std::optional<steady_time> provenAt;
};

class freshness_rule
{
public:
    static constexpr std::chrono::seconds stampLifetime{3};
    static constexpr std::chrono::seconds proofLifetime{3};

    explicit freshness_rule(std::size_t voterCount);

    void recordStamp(std::uint64_t revision, steady_time receivedAt);
    // Revisions never go back; an earlier one is ignored.
    void recordApplied(std::uint64_t revision);
    // Answers sent before the latest known one of the same voter are ignored.
    void recordProbe(std::uint32_t voter, probe_answer answer, steady_time sentAt);

    freshness_decision decide(steady_time now) const;
    std::uint64_t appliedRevision() const { return m_applied; }

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
    // Stamps whose revision is not applied yet; the newest few are enough.
    static constexpr std::size_t maxPending = 8;

    std::size_t m_voterCount;
    std::uint64_t m_applied = 0;
    std::optional<steady_time> m_currentSince; // receipt of the newest stamp that is satisfied
    std::deque<stamp> m_pending;
    std::map<std::uint32_t, probe> m_probes;
};

} // namespace buckthorngrade
