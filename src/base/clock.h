#pragma once

#include <chrono>

namespace buckthorngrade {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

// Monotonic like the steady clock, but it goes on while the machine is suspended. For how old
// something is that others told.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

// Source of time, so that tests can set it. Implementations are thread-safe.
class clock_source
{
public:
    virtual ~clock_source() = default;
    // Monotonic time, for intervals and timeouts.
    virtual steady_time now() const = 0;
    // Calendar time, for records that people read. It may jump.
    virtual wall_time wallNow() const = 0;
};

class system_clock_source final : public clock_source
{
public:
    steady_time now() const override { return std::chrono::steady_clock::now(); }
    wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace buckthorngrade
