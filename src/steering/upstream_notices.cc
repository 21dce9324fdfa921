#include "steering/upstream_notices.h"

#include <algorithm>

namespace buckthorngrade {

bool upstream_notices::recordLeaving()
{
    const bool isNew = !m_isLeaving;
    m_isLeaving = true;
    return isNew;
}

void upstream_notices::recordQuiet(steady_time now, std::chrono::milliseconds period)
{
    m_quietUntil = std::max<steady_time>(
        m_quietUntil, now + std::min<std::chrono::milliseconds>(period, maxQuietPeriod));
    m_mustProve = true;
}

bool upstream_notices::recordLimit(const limit_observation &observation)
{
    if (observation.perSecond || m_requestLimit || m_ownLimit)
        m_ownLimit = observation;
    return applyLimit(observation);
}

bool upstream_notices::recordSharedLimit(const limit_observation &observation)
{
    m_sharedLimit = observation;
    return applyLimit(observation);
}

std::optional<limit_observation> upstream_notices::unsharedLimit() const
{
    if (!m_ownLimit || !m_sharedLimit)
        return m_ownLimit;
    const bool isKnown = m_ownLimit->at <= m_sharedLimit->at
        || (m_ownLimit->perSecond == m_sharedLimit->perSecond
            && m_ownLimit->at - m_sharedLimit->at < limitShareInterval);
    return isKnown ? std::nullopt : m_ownLimit;
}

bool upstream_notices::applyLimit(const limit_observation &observation)
{
    if (observation.at < m_limitObservedAt)
        return false;
    m_limitObservedAt = observation.at;
    if (observation.perSecond && m_limitedSince == steady_time::min())
        m_limitedSince = observation.at;
    const bool hasChanged = observation.perSecond != m_requestLimit;
    m_requestLimit = observation.perSecond;
    return hasChanged;
}

void upstream_notices::recordResponse(steady_time now)
{
    // Requests that were sent before the quiet period still get responses during it.
    if (!isQuiet(now))
        m_mustProve = false;
}

} // namespace buckthorngrade
