#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace buckthorngrade {

// Orders allocations across leaders. The high bits are the leader's term, the low bits a counter
// kept by that leader. An epoch with counter 0 carries no allocation, only the term.
using allocation_epoch = std::uint64_t;
constexpr unsigned epochCounterBits = 40;
constexpr allocation_epoch epochCounterMask = (allocation_epoch{1} << epochCounterBits) - 1;
constexpr std::uint64_t maxEpochTerm = (std::uint64_t{1} << (64 - epochCounterBits)) - 1;

// First epoch of a term. Terms above maxEpochTerm are not supported.
constexpr allocation_epoch epochOfTerm(std::uint64_t term)
{
    return term << epochCounterBits;
}

// How many requests the holder may have in flight at one upstream; sent by the leader.
struct slot_grant
{
    std::uint32_t slots = 0;
    std::uint32_t reserved = 0; // part of `slots` that remains after the lease ends
    allocation_epoch epoch = 0;
};

// The slots that one holder has been granted at one upstream. slot_allocator.h has the safety
// argument. A value type that reads no clock; all times are of the holder's own steady clock.
//
// A report must be built from allowed(), epoch() and the in-flight count at a single point in time,
// and that time must be passed to apply() as the time the report was sent.
class slot_lease
{
public:
    static constexpr std::chrono::seconds duration{10};
    // Validity of a proof that no quorum exists.
    static constexpr std::chrono::seconds proofLifetime{3};

    // Must be called for every reply of a leader, before apply(). Allocations of earlier terms that
    // are still in transit are rejected from then on. Does not extend the lease.
    void observeTerm(std::uint64_t term);
    // Applies a grant from the reply to the report sent at `reportSentAt`, and extends the lease to
    // `reportSentAt + duration`. Returns false, without effect, if a later epoch was applied.
    bool apply(const slot_grant &grant, steady_time reportSentAt);
    // Extends a lease that has not ended, because a majority of voters, probed at `probeSentAt`,
    // showed that no quorum exists. Has no effect on a lease that has ended.
    void renewByProof(steady_time probeSentAt, steady_time now);

    // Number of requests that may be in flight at `now`: the granted slots during the lease, the
    // reserved ones after it. A report states this number as held.
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
