#pragma once

#include "base/clock.h"
#include "model/topology.h"
#include "steering/slot_lease.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace buckthorngrade {

// The slots that this instance holds and uses at each upstream. A slot allows one request in
// flight. Slots come from the leader's allocations only; until the first one arrives there are
// none. Thread-safe.
class slot_table
{
public:
    explicit slot_table(const topology &deployment);

    struct row_report
    {
        std::string service;
        std::string upstream;
        std::uint32_t held = 0;
        std::uint32_t inFlight = 0;
        allocation_epoch epoch = 0;
    };
    // Returns all rows as of `now`. The same time must be passed to applyGrants() with the reply to
    // the report.
    std::vector<row_report> report(steady_time now) const;

    struct row_grant
    {
        std::string service;
        std::string upstream;
        slot_grant grant;
    };
    // Applies the leader's reply to the report made at `reportSentAt`. Unknown upstreams are
    // ignored.
    void applyGrants(std::uint64_t term, const std::vector<row_grant> &grants,
                     steady_time reportSentAt);
    // Extends all leases; see slot_lease::renewByProof().
    void renewByProof(steady_time probeSentAt, steady_time now);

    struct usage
    {
        std::uint32_t allowed = 0;
        std::uint32_t inFlight = 0;
    };
    // Returns one element for each upstream of the service, in the order of the settings.
    std::vector<usage> usageOf(std::size_t service, steady_time now) const;
    // Acquires a slot. Returns false if none is free.
    bool tryAcquire(std::size_t service, std::size_t upstream, steady_time now);
    void release(std::size_t service, std::size_t upstream);
    // Number of requests in flight at all upstreams.
    std::uint32_t totalInFlight() const;
    // Fraction of the held slots that is in use, 0 to 1.
    double load(steady_time now) const;
    // Returns true if an allocation with at least one slot has arrived, or if there are no
    // upstreams.
    bool isAllocated() const;

private:
    struct row
    {
        slot_lease lease;
        std::uint32_t inFlight = 0;
    };

    mutable std::mutex m_mutex;
    bool m_isAllocated = false;
    std::vector<std::vector<row>> m_rows; // by service and upstream
    std::map<std::pair<std::string, std::string>, std::pair<std::size_t, std::size_t>> m_index;
};

} // namespace buckthorngrade
