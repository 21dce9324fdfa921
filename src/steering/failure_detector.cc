#include "steering/failure_detector.h"

#include <algorithm>

namespace buckthorngrade {

failure_detector::failure_detector(std::uint64_t incarnation, steady_time now)
    : m_incarnation(incarnation)
    , m_lastReport(now)
{ }

bool failure_detector::recordReport(std::uint64_t incarnation, steady_time now)
{
    if (incarnation < m_incarnation)
        return false;
    m_incarnation = incarnation;
    m_lastReport = std::max(m_lastReport, now);
    if (!m_isSuspected)
        return true;
    m_isSuspected = false;
    if (!m_refutations.empty() && now - m_refutations.back() > refutationWindow)
        m_nextHoldDown = firstHoldDown;
    std::erase_if(m_refutations, [&](steady_time at) { return now - at > refutationWindow; });
    m_refutations.push_back(now);
    if (m_refutations.size() > maxRefutations)
        m_refutations.pop_front();
    if (m_refutations.size() >= maxRefutations) {
        m_holdDownUntil = now + m_nextHoldDown;
        m_nextHoldDown = std::min(m_nextHoldDown * 2, maxHoldDown);
    }
    return true;
}

liveness_decision failure_detector::decide(const liveness_input &input, steady_time now)
{
    const auto silence = now - m_lastReport;
    if (input.isRemovedByOperator)
        return {instance_state::removed, "removed-by-operator"};
    if (!input.isListed && silence >= removeAfter)
        return {instance_state::removed, "unlisted-and-silent"};
    if (silence >= deadAfter) {
        m_isSuspected = true;
        return {instance_state::dead, "silent"};
    }
    if (silence >= suspectAfter && input.reachability != observed_reachability::reachable) {
        m_isSuspected = true;
        return {instance_state::suspected,
                input.reachability == observed_reachability::unreachable ? "silent-and-unreachable"
                                                                         : "silent-no-observer"};
    }
    if (input.isLeaving)
        return {instance_state::leaving, "leaving"};
    if (!input.isReady)
        return {instance_state::not_ready, "not-ready"};
    if (now < m_holdDownUntil)
        return {instance_state::suspected, "refuted-too-often"};
    return {instance_state::live, "reporting"};
}

} // namespace buckthorngrade
