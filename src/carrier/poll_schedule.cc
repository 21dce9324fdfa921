#include "carrier/poll_schedule.h"

#include <algorithm>

namespace buckthorngrade {

std::chrono::milliseconds poll_schedule::period() const
{
    const std::chrono::milliseconds share(1'000 * m_instances / pollsPerSecond);
    const std::chrono::milliseconds usual = std::clamp(share, shortestPeriod, longestPeriod);
    return m_isReady ? usual : std::min(m_startPeriod, usual);
}

std::chrono::milliseconds poll_schedule::nextDelay()
{
    const std::chrono::milliseconds base = period();
    if (!m_isReady)
        m_startPeriod += m_startPeriod / growthDivisor;
    // The delay is between 0.8 and 1.2 times the period.
    std::uniform_int_distribution<std::int64_t> variation(-base.count() / 5, base.count() / 5);
    return base + std::chrono::milliseconds(variation(m_random));
}

} // namespace buckthorngrade
