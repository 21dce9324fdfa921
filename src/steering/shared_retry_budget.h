#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace buckthorngrade {

// Limits the retries to one service over all entry instances without coordination between them.
//
// In any window, the retries of all instances may be at most `ratio` of the service's requests plus
// `allowance`. An instance may use `ratio` of its own requests and an equal part of the allowance,
// both reduced by `margin`, so that the sum over all instances stays within the limit for any
// distribution of the requests.
class shared_retry_budget
{
public:
    struct limits
    {
        double ratio = 0.2;
        double allowance = 0; // Retries per window, for all instances together.
        std::chrono::milliseconds window{10'000};
    };
    // Fraction of the limit that is used. The rest covers instances that are joining or that the
    // others do not know yet.
    static constexpr double margin = 0.8;

    explicit shared_retry_budget(const limits &bounds);

    void recordRequest(steady_time now);
    // Takes one retry from the budget if it is not exhausted. Returns whether it did. `instances`
    // is the number of entry instances that divide the allowance; 0 means that this instance may
    // not use any of it.
    bool tryRetry(steady_time now, std::size_t instances);

private:
    void expire(steady_time now);

    limits m_limits;
    std::deque<steady_time> m_requests;
    std::deque<steady_time> m_retries;
};

} // namespace buckthorngrade
