#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace buckthorngrade {

// Token bucket for the bytes that one entry instance may send in one direction of a link between
// regions. A new request needs a positive balance. Bytes of requests that have started may take the
// balance below zero; the next chunk then waits until it is positive again.
class link_budget
{
public:
    // Size of the bucket, as time at the full rate. Allows pacing with a timer no finer than this.
    static constexpr std::chrono::milliseconds burst{100};
    // Limit of a negative balance, as time at the full rate. Bounds the wait after a large write.
    static constexpr std::chrono::milliseconds maxDebt{2000};

    // `share` is the fraction of the link's rate that is available, 0 to 1. Starts with a full
    // bucket.
    link_budget(std::uint64_t bytesPerSecond, double share, steady_time now);

    void setRate(std::uint64_t bytesPerSecond, double share, steady_time now);
    bool mayStart(steady_time now) const { return balance(now) > 0; }
    // Subtracts `bytes` that are about to be sent from the balance.
    void take(std::uint64_t bytes, steady_time now);
    // Time until the balance is positive; zero if it already is. nanoseconds::max() if the rate is
    // zero and the balance is not positive.
    std::chrono::nanoseconds delay(steady_time now) const;
    // In bytes; negative after more was sent than the bucket held.
    double balance(steady_time now) const;

private:
    double m_rate = 0; // bytes per second
    double m_balance = 0; // bytes, at m_updated
    steady_time m_updated;
};

} // namespace buckthorngrade
