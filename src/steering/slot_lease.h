#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace buckthorngrade {

// Orders allocations across leaders: the leader's term above a counter of that leader. An epoch
// with counter 0 carries no allocation; it only tells the term.
using allocation_epoch = std::uint64_t;
constexpr unsigned epochCounterBits = 40;
constexpr allocation_epoch epochCounterMask = (allocation_epoch{1} << epochCounterBits) - 1;
constexpr std::uint64_t maxEpochTerm = (std::uint64_t{1} << (64 - epochCounterBits)) - 1;

// First epoch of a term. Terms above maxEpochTerm are not supported.
constexpr allocation_epoch epochOfTerm(std::uint64_t term)
{
    return term << epochCounterBits;
}

// Leader to holder: how many requests the holder may have in flight at one upstream.
struct slot_grant
{
    std::uint32_t slots = 0;
    std::uint32_t reserved = 0; // part of `slots` that outlives the lease
    allocation_epoch epoch = 0;
};

// The holder's side of one upstream's slots; slot_allocator.h has the safety argument. A value
// type without a clock; every time is the holder's own steady clock.
//
// A report must be built from allowed(), epoch() and the in-flight count at one instant, and that
// instant's time must be remembered as the time the report was sent.
class slot_lease
{
public:
    static constexpr std::chrono::seconds duration{10};
    static constexpr std::chrono::seconds proofLifetime{3};

    // Every reply of a leader comes first through here: allocations of earlier terms that are
    // still under way are rejected from now on. Does not extend the lease.
    void observeTerm(std::uint64_t term);
    // Applies a grant from the reply to the report sent at `reportSentAt`, and extends the lease to
    // `reportSentAt + duration`. Returns false, without effect, if a later epoch was applied.
    bool apply(const slot_grant &grant, steady_time reportSentAt);
    // Extends a lease that has not ended, because a majority of voters, probed at `probeSentAt`,
    // showed that no quorum exists. A lease that has ended stays so until a leader's reply.
    void renewByProof(steady_time probeSentAt, steady_time now);

    // Requests that may be in flight at `now`: the allocation during the lease, else the reserved
    // floor. This is what a report states as held.
    std::uint32_t allowed(steady_time now) const;
    bool mayStart(std::uint32_t inFlight, steady_time now) const { return inFlight < allowed(now); }
    bool isLeased(steady_time now) const { return now < m_leaseEnd; }

    steady_time leaseEnd() const { return m_leaseEnd; }
    std::uint32_t reserved() const { return m_reserved; }
    allocation_epoch epoch() const { return m_epoch; }

private:
    std::uint32_t m_slots = 0;
    std::uint32_t m_reserved = 0;
    allocation_epoch m_epoch = 0;
    steady_time m_leaseEnd = steady_time::min();
};

} // namespace buckthorngrade
