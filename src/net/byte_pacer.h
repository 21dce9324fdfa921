#pragma once

#include "base/clock.h"

#include <cstdint>

namespace buckthorngrade {

// Spaces bytes so that they stay within a rate.
class byte_pacer
{
public:
    // `bytesPerSecond` 0: no limit.
    explicit byte_pacer(double bytesPerSecond = 0)
        : m_bytesPerSecond(bytesPerSecond)
    { }

    bool isLimited() const { return m_bytesPerSecond > 0; }
    // Counts bytes that have just passed; returns when more may pass.
    steady_time take(std::uint64_t bytes, steady_time now);

private:
    double m_bytesPerSecond;
    steady_time m_next = steady_time::min();
};

} // namespace buckthorngrade
