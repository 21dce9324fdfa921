#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthorngrade {

// Outlier detection: ejects upstreams of one service that fail repeatedly, as observed by one entry
// instance.
//
// After `failureLimit` consecutive failures an upstream is ejected for `firstEjection`. Each
// further ejection without `failureLimit` consecutive successes in between lasts twice as long, up
// to `maxEjection`. After an ejection, a single failure ejects the upstream again until it has had
// a success. At most half of the upstreams (rounded down) are ejected at a time: a failure that
// affects all of them is more likely caused by the instance itself or the network, and refusing
// every request would not help.
class ejection_policy
{
public:
    static constexpr std::uint32_t failureLimit = 5;
    static constexpr std::chrono::seconds firstEjection{2};
    static constexpr std::chrono::seconds maxEjection{60};

    explicit ejection_policy(std::size_t upstreamCount);

    // Results are ignored while the upstream is ejected.
    void recordSuccess(std::size_t upstream, steady_time now);
    // Returns true if this failure ejected the upstream.
    bool recordFailure(std::size_t upstream, steady_time now);
    bool isEjected(std::size_t upstream, steady_time now) const;
    std::size_t ejectedCount(steady_time now) const;

private:
    struct upstream_state
    {
        std::uint32_t failures = 0; // consecutive
        std::uint32_t successes = 0; // consecutive
        std::chrono::seconds nextEjection = firstEjection;
        steady_time ejectedUntil = steady_time::min();
    };
    std::vector<upstream_state> m_states;
};

} // namespace buckthorngrade
