#pragma once

#include "base/clock.h"
#include "model/instance_status.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>

namespace buckthorngrade {

// What other observers (the feed stream's server, peers) say about an instance that is silent.
enum class observer_opinion { none_asked, reachable, unreachable };

struct suspicion_input
{
    observer_opinion observers = observer_opinion::none_asked;
    bool isListed = true; // in the platform's list
    bool isRemovedByOperator = false;
    bool isReady = true; // as last reported
    bool isLeaving = false; // as last reported, or in the platform's list
};

struct suspicion_decision
{
    instance_state state = instance_state::live;
    std::string_view rule;
};

// Liveness of one registered entry instance, from its reports and other observers.
//
// Silent for `suspectAfter`: suspected, unless observers reach it. Silent for `deadAfter`: dead.
// Removed by an operator, or if it is silent for `removeAfter` and not in the platform's list. A
// report refutes a suspicion, but after `maxRefutations` within `refutationWindow` the instance is
// kept out for a time that doubles from `firstHoldOut` to `maxHoldOut`, so that an instance that
// comes and goes does not move callers back and forth. A window without refutation resets it.
class suspicion_rule
{
public:
    static constexpr std::chrono::seconds suspectAfter{3};
    static constexpr std::chrono::seconds deadAfter{10};
    static constexpr std::chrono::minutes removeAfter{10};
    static constexpr std::chrono::seconds refutationWindow{60};
    static constexpr std::size_t maxRefutations = 3;
    static constexpr std::chrono::seconds firstHoldOut{2};
    static constexpr std::chrono::seconds maxHoldOut{60};

    // Registered at `now`, which counts as its first report.
    suspicion_rule(std::uint64_t incarnation, steady_time now);

    // Returns false, without effect, for an incarnation before the latest.
    bool recordReport(std::uint64_t incarnation, steady_time now);
    // Also remembers the state, so that the next report counts as a refutation of a suspicion.
    suspicion_decision decide(const suspicion_input &input, steady_time now);

    std::uint64_t incarnation() const { return m_incarnation; }
    steady_time lastReport() const { return m_lastReport; }
    steady_time heldOutUntil() const { return m_heldOutUntil; }

private:
    std::uint64_t m_incarnation;
    steady_time m_lastReport;
    bool m_isSuspected = false;
    std::deque<steady_time> m_refutations;
    std::chrono::seconds m_nextHoldOut = firstHoldOut;
    steady_time m_heldOutUntil = steady_time::min();
};

} // namespace buckthorngrade
