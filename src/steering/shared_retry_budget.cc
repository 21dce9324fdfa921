#include "steering/shared_retry_budget.h"

#include <algorithm>

namespace buckthorngrade {

shared_retry_budget::shared_retry_budget(const limits &bounds)
    : m_limits(bounds)
{ }

void shared_retry_budget::expire(steady_time now)
{
    for (std::deque<steady_time> *times : {&m_requests, &m_retries})
        while (!times->empty() && now - times->front() >= m_limits.window)
            times->pop_front();
}

void shared_retry_budget::recordRequest(steady_time now)
{
    expire(now);
    m_requests.push_back(now);
}

bool shared_retry_budget::tryRetry(steady_time now, std::size_t instances)
{
    expire(now);
    const double ownAllowance
        = instances == 0 ? 0 : m_limits.allowance / static_cast<double>(instances);
    const double bound
        = margin * (m_limits.ratio * static_cast<double>(m_requests.size()) + ownAllowance);
    if (static_cast<double>(m_retries.size()) + 1 > bound)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace buckthorngrade
