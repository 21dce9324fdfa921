#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace buckthorngrade {

// Limits how often requests to one service are sent a second time, over all entry instances
// together, without asking anyone.
//
// In any window the repeats may be at most `share` of the service's requests plus `allowance`. An
// instance takes its share of its own requests and an equal part of the allowance, less a margin,
// so that the sum over all instances stays within the bound however the requests are spread.
class retry_budget
{
public:
    struct limits
    {
        double share = 0.2;
        double allowance = 0; // of all instances together
        std::chrono::milliseconds window{10'000};
    };
    // Keeps instances that join or are not known yet within the bound.
    static constexpr double margin = 0.8;

    explicit retry_budget(const limits &bounds);

    void recordRequest(steady_time now);
    // Takes one repeat from the budget if there is room. `instances` is how many entry instances
    // share the allowance; 0: this one may use none of it.
    bool tryTake(steady_time now, std::size_t instances);

private:
    void expire(steady_time now);

    limits m_limits;
    std::deque<steady_time> m_requests;
    std::deque<steady_time> m_repeats;
};

} // namespace buckthorngrade
