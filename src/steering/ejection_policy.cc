#include "steering/ejection_policy.h"

#include <algorithm>

namespace buckthorngrade {

ejection_policy::ejection_policy(std::size_t upstreamCount)
    : m_states(upstreamCount)
{ }

void ejection_policy::recordSuccess(std::size_t upstream, steady_time now)
{
    upstream_state &state = m_states.at(upstream);
    // Responses to requests sent before the ejection do not end it early.
    if (isEjected(upstream, now))
        return;
    state.failures = 0;
    if (++state.successes >= failureLimit)
        state.nextEjection = firstEjection;
}

bool ejection_policy::recordFailure(std::size_t upstream, steady_time now)
{
    upstream_state &state = m_states.at(upstream);
    if (isEjected(upstream, now))
        return false;
    state.successes = 0;
    state.failures = std::min(state.failures + 1, failureLimit);
    if (state.failures < failureLimit || ejectedCount(now) + 1 > m_states.size() / 2)
        return false;
    state.ejectedUntil = now + state.nextEjection;
    state.nextEjection = std::min(state.nextEjection * 2, maxEjection);
    // The next failure after the ejection ejects the upstream again.
    state.failures = failureLimit - 1;
    return true;
}

bool ejection_policy::isEjected(std::size_t upstream, steady_time now) const
{
    return now < m_states.at(upstream).ejectedUntil;
}

std::size_t ejection_policy::ejectedCount(steady_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_states, [&](const upstream_state &state) { return now < state.ejectedUntil; }));
}

} // namespace buckthorngrade
