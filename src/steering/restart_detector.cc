#include "steering/restart_detector.h"

#include <algorithm>

namespace buckthorngrade {

void restart_detector::recordLoss(steady_time aliveAt, steady_time now)
{
    m_aliveAt = m_hasLostConnection ? std::min(m_aliveAt, aliveAt) : aliveAt;
    m_hasLostConnection = true;
    m_lostAt = now;
    m_hasResponse = false;
}

void restart_detector::recordResponse(steady_time connectedAt, steady_time now)
{
    if (!m_hasLostConnection)
        return;
    if (connectedAt <= m_aliveAt) {
        m_hasLostConnection = false;
    } else if (!m_hasResponse) {
        m_hasResponse = true;
        m_firstResponseAt = now;
    }
}

bool restart_detector::isSuspected(steady_time now, std::chrono::milliseconds coldPeriod) const
{
    if (!m_hasLostConnection || coldPeriod.count() == 0)
        return false;
    return m_hasResponse ? now < m_firstResponseAt + coldPeriod : now < m_lostAt + suspicionTimeout;
}

} // namespace buckthorngrade
