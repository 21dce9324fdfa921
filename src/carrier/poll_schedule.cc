#include "carrier/poll_schedule.h"

#include <algorithm>

namespace buckthorngrade {

std::chrono::milliseconds poll_schedule::period() const
{
    const std::chrono::milliseconds loadLimitedPeriod(1'000 * m_instances / maxPollsPerSecond);
    const std::chrono::milliseconds steadyPeriod
        = std::clamp(loadLimitedPeriod, minPeriod, maxPeriod);
    return m_isReady ? steadyPeriod : std::min(m_startPeriod, steadyPeriod);
}

std::chrono::milliseconds poll_schedule::nextDelay()
{
    const std::chrono::milliseconds base = period();
    if (!m_isReady)
        m_startPeriod += m_startPeriod / growthDivisor;
    // The delay is between 0.8 and 1.2 times the period.
    std::uniform_int_distribution<std::int64_t> jitter(-base.count() / 5, base.count() / 5);
    return base + std::chrono::milliseconds(jitter(m_random));
}

} // namespace buckthorngrade
