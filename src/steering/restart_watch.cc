#include "steering/restart_watch.h"

#include <algorithm>

namespace buckthorngrade {

void restart_watch::recordLoss(steady_time aliveAt, steady_time now)
{
    m_aliveAt = m_isLost ? std::min(m_aliveAt, aliveAt) : aliveAt;
    m_isLost = true;
    m_lostAt = now;
    m_isRegained = false;
}

void restart_watch::recordResponse(steady_time connectedAt, steady_time now)
{
    if (!m_isLost)
        return;
    if (connectedAt <= m_aliveAt) {
        m_isLost = false;
    } else if (!m_isRegained) {
        m_isRegained = true;
        m_regainedAt = now;
    }
}

bool restart_watch::isSuspected(steady_time now, std::chrono::milliseconds coldPeriod) const
{
    if (!m_isLost || coldPeriod.count() == 0)
        return false;
    return m_isRegained ? now < m_regainedAt + coldPeriod : now < m_lostAt + silence;
}

} // namespace buckthorngrade
