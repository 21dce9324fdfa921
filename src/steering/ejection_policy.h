#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthorngrade {

// Ejects upstreams of one service that fail repeatedly, seen from one entry instance.
//
// After `failureLimit` consecutive failures an upstream is ejected for `firstEjection`; each
// ejection that follows without `failureLimit` successes in between lasts twice as long, up to
// `maxEjection`. After it, the first failure ejects again. At most half of the upstreams (rounded
// down) are ejected at a time: a failure shared by all of them is more likely the instance's own
// or the network's, and refusing everything would not help.
class ejection_policy
{
public:
    static constexpr std::uint32_t failureLimit = 5;
    static constexpr std::chrono::seconds firstEjection{2};
    static constexpr std::chrono::seconds maxEjection{60};

    explicit ejection_policy(std::size_t upstreamCount);

    void recordSuccess(std::size_t upstream, steady_time now);
    // Returns true if this failure ejected the upstream.
    bool recordFailure(std::size_t upstream, steady_time now);
    bool isEjected(std::size_t upstream, steady_time now) const;
    std::size_t ejectedCount(steady_time now) const;

private:
    struct state
    {
        std::uint32_t failures = 0; // consecutive
        std::uint32_t successes = 0; // consecutive
        std::chrono::seconds nextEjection = firstEjection;
        steady_time ejectedUntil = steady_time::min();
    };
    std::vector<state> m_states;
};

} // namespace buckthorngrade
