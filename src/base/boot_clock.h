#pragma once

#include <chrono>

namespace buckthorngrade {

// Monotonic like the steady clock, but it goes on while the machine is suspended. For how old
// something is that others told.
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
