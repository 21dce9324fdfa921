#pragma once

#include "base/clock.h"

#include <cstdint>

namespace buckthorngrade {

// Rate limiter for bytes. It computes when the next bytes may be transferred.
class byte_pacer
{
public:
    // A `bytesPerSecond` of 0 means no limit.
    explicit byte_pacer(double bytesPerSecond = 0)
        : m_bytesPerSecond(bytesPerSecond)
    { }

    bool isLimited() const { return m_bytesPerSecond > 0; }
    // Records that `bytes` were transferred at `now`. Returns the time at which more may follow.
    steady_time take(std::uint64_t bytes, steady_time now);

private:
    double m_bytesPerSecond;
    steady_time m_next = steady_time::min();
};

} // namespace buckthorngrade
