#pragma once

#include <chrono>

namespace buckthorngrade {

// Monotonic clock that, unlike std::chrono::steady_clock, also advances while the machine is
// suspended. Use it to measure the age of information that was received from other processes.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

} // namespace buckthorngrade
