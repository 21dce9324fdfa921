#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace buckthorngrade {

// Token bucket over the bytes that one entry instance may send in one direction of a link between
// regions. A new request needs a positive balance; bytes already due may take it below zero, and
// the next chunk waits until it is positive again.
class link_budget
{
public:
    // Bytes of this much time may be sent at once, so that pacing does not need a finer timer.
    static constexpr std::chrono::milliseconds burst{100};
    // Longest debt, as time at the full rate: bounds the wait after one large write.
    static constexpr std::chrono::milliseconds maxDebt{2000};

    // `share` of the link's rate, 0 to 1. Starts with a full bucket.
    link_budget(std::uint64_t bytesPerSecond, double share, steady_time now);

    void setRate(std::uint64_t bytesPerSecond, double share, steady_time now);
    bool mayStart(steady_time now) const { return balance(now) > 0; }
    // Takes `bytes` that are about to be sent.
    void take(std::uint64_t bytes, steady_time now);
    // Time until the balance is positive; zero if it is. The longest duration at rate zero.
    std::chrono::nanoseconds delay(steady_time now) const;
    // In bytes; negative while in debt.
    double balance(steady_time now) const;

private:
    double m_rate = 0; // bytes a second
    double m_balance = 0;
    steady_time m_updated;
};

} // namespace buckthorngrade
