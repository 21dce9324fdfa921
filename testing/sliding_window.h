#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace buckthorngrade {

// Largest number of times within any window of `length` that starts at one of them.
inline std::size_t mostWithin(std::vector<steady_time> times, std::chrono::milliseconds length)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; first < times.size(); ++first) {
        while (last < times.size() && times[last] - times[first] < length)
            ++last;
        most = std::max(most, last - first);
    }
    return most;
}

} // namespace buckthorngrade
