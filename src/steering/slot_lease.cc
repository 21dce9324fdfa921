#include "steering/slot_lease.h"

#include <algorithm>

namespace buckthorngrade {

void slot_lease::observeTerm(std::uint64_t term)
{
    m_epoch = std::max(m_epoch, epochOfTerm(term));
}

bool slot_lease::apply(const slot_grant &grant, steady_time reportSentAt)
{
    if (grant.epoch < m_epoch)
        return false;
    m_epoch = grant.epoch;
    m_slots = grant.slots;
    m_reserved = std::min(grant.reserved, grant.slots);
    m_leaseEnd = std::max(m_leaseEnd, reportSentAt + duration);
    return true;
}

void slot_lease::renewByProof(steady_time probeSentAt, steady_time now)
{
    if (isLeased(now))
        m_leaseEnd = std::max(m_leaseEnd, probeSentAt + proofLifetime);
}

std::uint32_t slot_lease::allowed(steady_time now) const
{
    return isLeased(now) ? m_slots : m_reserved;
}

} // namespace buckthorngrade
