#pragma once

#include <chrono>

namespace buckthorngrade {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

// Interface to the system's clocks that tests can replace. Implementations are thread-safe.
class clock_source
{
public:
    virtual ~clock_source() = default;
    // Monotonic time, for intervals and timeouts.
    virtual steady_time now() const = 0;
    // Calendar time, for records that people read. It may jump forwards or backwards.
    virtual wall_time wallNow() const = 0;
};

class system_clock_source final : public clock_source
{
public:
    steady_time now() const override { return std::chrono::steady_clock::now(); }
    wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace buckthorngrade
