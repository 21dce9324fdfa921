#pragma once

#include "base/clock.h"
#include "model/instance_status.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>

namespace buckthorngrade {

// Whether other observers (the feed stream's server, peers) can reach an instance that is silent.
enum class observed_reachability { not_observed, reachable, unreachable };

struct liveness_input
{
    observed_reachability reachability = observed_reachability::not_observed;
    bool isListed = true; // in the platform's list
    bool isRemovedByOperator = false;
    bool isReady = true; // as last reported
    bool isLeaving = false; // as last reported, or in the platform's list
};

struct liveness_decision
{
    instance_state state = instance_state::live;
    std::string_view rule;
};

// Failure detector for one registered entry instance, based on its reports and on other observers.
//
// An instance that has sent no report for `suspectAfter` is suspected, unless observers reach it.
// After `deadAfter` without a report it is dead. It is removed if an operator has removed it, or if
// it has sent no report for `removeAfter` and is not in the platform's list.
//
// A report refutes a suspicion. From `maxRefutations` refutations within `refutationWindow` on,
// each refutation keeps the instance suspected for a hold-down time that doubles from
// `firstHoldDown` to `maxHoldDown`, so that an instance that alternates between states does not
// move callers back and forth. A window without refutations resets this time.
class failure_detector
{
public:
    static constexpr std::chrono::seconds suspectAfter{3};
    static constexpr std::chrono::seconds deadAfter{10};
    static constexpr std::chrono::minutes removeAfter{10};
    static constexpr std::chrono::seconds refutationWindow{60};
    static constexpr std::size_t maxRefutations = 3;
    static constexpr std::chrono::seconds firstHoldDown{2};
    static constexpr std::chrono::seconds maxHoldDown{60};

    // The registration at `now` counts as the first report.
    failure_detector(std::uint64_t incarnation, steady_time now);

    // Returns false, without effect, for an incarnation earlier than the latest one.
    bool recordReport(std::uint64_t incarnation, steady_time now);
    // Not const: after a decision for suspected or dead because of silence, the next report counts
    // as a refutation.
    liveness_decision decide(const liveness_input &input, steady_time now);

    std::uint64_t incarnation() const { return m_incarnation; }
    steady_time lastReport() const { return m_lastReport; }
    steady_time holdDownUntil() const { return m_holdDownUntil; }

private:
    std::uint64_t m_incarnation;
    steady_time m_lastReport;
    bool m_isSuspected = false;
    std::deque<steady_time> m_refutations;
    std::chrono::seconds m_nextHoldDown = firstHoldDown;
    steady_time m_holdDownUntil = steady_time::min();
};

} // namespace buckthorngrade
