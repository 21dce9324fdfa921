#include "steering/ejection_policy.h"

#include <algorithm>

namespace buckthorngrade {

ejection_policy::ejection_policy(std::size_t upstreamCount)
    : m_states(upstreamCount)
{ }

void ejection_policy::recordSuccess(std::size_t upstream, steady_time now)
{
    state &item = m_states.at(upstream);
    // Responses to requests sent before the ejection do not end it early.
    if (isEjected(upstream, now))
        return;
    item.failures = 0;
    if (++item.successes >= failureLimit)
        item.nextEjection = firstEjection;
}

bool ejection_policy::recordFailure(std::size_t upstream, steady_time now)
{
    state &item = m_states.at(upstream);
    if (isEjected(upstream, now))
        return false;
    item.successes = 0;
    item.failures = std::min(item.failures + 1, failureLimit);
    if (item.failures < failureLimit || ejectedCount(now) + 1 > m_states.size() / 2)
        return false;
    item.ejectedUntil = now + item.nextEjection;
    item.nextEjection = std::min(item.nextEjection * 2, maxEjection);
    // The next failure after the ejection ejects the upstream again.
    item.failures = failureLimit - 1;
    return true;
}

bool ejection_policy::isEjected(std::size_t upstream, steady_time now) const
{
    return now < m_states.at(upstream).ejectedUntil;
}

std::size_t ejection_policy::ejectedCount(steady_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_states, [&](const state &item) { return now < item.ejectedUntil; }));
}

} // namespace buckthorngrade
