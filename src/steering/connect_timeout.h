#pragma once

#include "base/clock.h"

#include <chrono>

namespace buckthorngrade {

// Computes the timeout of connection attempts from the time that recent ones took, as TCP computes
// its retransmission timeout (RFC 6298).
//
// The link of an instance is shared by connection attempts and long bodies, so that an attempt may
// take several hundred milliseconds on a busy link. On an idle one, an upstream that does not
// answer is given up much sooner, and the request still meets its latency target at another
// upstream.
class connect_timeout
{
public:
    using milliseconds = std::chrono::duration<double, std::milli>;

    // The estimate is not used without a sample for this time: the load of the link has changed.
    static constexpr std::chrono::milliseconds validity{2'000};

    connect_timeout(milliseconds min, milliseconds max);

    // Records the time that a successful attempt took. Attempts that timed out don't count, because
    // they say more about their upstream than about the link. When the link becomes busy, some
    // attempts still succeed within the timeout, and raise it.
    void record(milliseconds time, steady_time now);
    // Returns the timeout for the next attempt, between the bounds.
    milliseconds value(steady_time now) const;

private:
    milliseconds m_min;
    milliseconds m_max;
    milliseconds m_mean{0};
    milliseconds m_deviation{0};
    bool m_hasSample = false;
    steady_time m_sampledAt{};
};

} // namespace buckthorngrade
