#include "steering/slot_allocator.h"

#include "steering/block_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace buckthorngrade {

namespace {

using std::chrono::milliseconds;

// Factor on the measured demand, so that the slots for the next second's growth are granted
// already.
constexpr double demandHeadroom = 1.25;
// Fraction of the previous estimate that is kept when a report states less demand.
constexpr double demandDecay = 0.5;
constexpr std::uint32_t minGrantStep = 4;
// Fraction of the unrequested slots that is granted ahead of demand. The rest stays free, so that
// it can be granted without a revocation.
constexpr double spareShare = 0.5;
constexpr std::uint32_t distanceTiers = 3; // same failure domain, same region, other regions
// Unmet demand for slots in the own region is disregarded after a few report periods.
constexpr milliseconds unmetDemandLifetime{3000};

std::string poolKey(const std::string &service, const std::string &upstream)
{
    return service + '\n' + upstream;
}

std::uint32_t excessOver(std::uint32_t value, std::uint32_t limit)
{
    return value > limit ? value - limit : 0;
}

std::uint32_t reservedSlotCount(double share, std::uint32_t slots)
{
    if (share <= 0)
        return 0;
    const auto rounded = static_cast<std::uint32_t>(std::lround(std::min(share, 1.0) * slots));
    return slots >= 2 ? std::max(rounded, 1U) : rounded;
}

// Returns the level at which `needs` have to be capped so that they sum up to `available`. The sum
// of `needs` exceeds `available`.
double maxMinLevel(std::vector<double> needs, double available)
{
    std::ranges::sort(needs);
    double remaining = std::max(available, 0.0);
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const double level = remaining / static_cast<double>(needs.size() - i);
        if (needs[i] >= level)
            return level;
        remaining -= needs[i];
    }
    return needs.empty() ? 0 : needs.back();
}

// Rounds `shares` to whole slots and returns the result for the share at `own`. Each share is
// rounded down, and the remaining slots go, one each, to the first shares that have a fraction.
// With rounding down alone, 2 instances at a limit of 3 would use only 2 slots, and a limit that
// grows with use would never grow.
std::uint32_t roundedShare(const std::vector<double> &shares, std::size_t ownIndex)
{
    constexpr double tolerance = 1e-6; // for rounding errors of sums
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    double floors = 0;
    std::size_t fractionsBefore = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double floor = std::floor(shares[i] + tolerance);
        floors += floor;
        if (i < ownIndex && shares[i] - floor > tolerance)
            ++fractionsBefore;
    }
    const double leftOver = std::floor(sum + tolerance) - floors;
    const double floor = std::floor(shares[ownIndex] + tolerance);
    const bool getsOne
        = shares[ownIndex] - floor > tolerance && static_cast<double>(fractionsBefore) < leftOver;
    return static_cast<std::uint32_t>(std::max(floor, 0.0)) + (getsOne ? 1 : 0);
}

} // namespace

slot_allocator::slot_allocator(slot_allocator_settings settings, std::vector<slot_pool> pools,
                               const std::map<std::string, slot_rules> &rules, steady_time now)
    : m_settings(std::move(settings))
    , m_now(now)
    , m_quorumSince(now)
{
    if (m_settings.term == 0 || m_settings.term > maxEpochTerm)
        throw steering_error("allocation term " + std::to_string(m_settings.term)
                             + " is out of range");
    for (slot_pool &pool : pools) {
        const auto poolIndex = static_cast<index>(m_pools.size());
        if (!m_poolIndex.try_emplace(poolKey(pool.service, pool.upstream), poolIndex).second)
            throw steering_error("upstream '" + pool.upstream + "' of service '" + pool.service
                                 + "' is given twice");
        const auto [found, added]
            = m_serviceIndex.try_emplace(pool.service, static_cast<index>(m_services.size()));
        if (added) {
            m_services.emplace_back();
            m_services.back().name = pool.service;
            if (const auto rule = rules.find(pool.service); rule != rules.end())
                m_services.back().rules = rule->second;
        }
        service_state &service = m_services[found->second];
        service.pools.push_back(poolIndex);
        auto region = std::ranges::find(service.regions, pool.region, &region_state::name);
        if (region == service.regions.end()) {
            service.regions.emplace_back();
            region = std::prev(service.regions.end());
            region->name = pool.region;
        }
        region->pools.push_back(poolIndex);
        pool_state state;
        state.service = found->second;
        state.region = static_cast<index>(region - service.regions.begin());
        state.capacityLimit = pool.slots;
        state.spec = std::move(pool);
        m_pools.push_back(std::move(state));
    }
    for (index i = 0; i < m_services.size(); ++i)
        refreshService(i);
}

slot_allocator::index slot_allocator::poolIndexOf(const std::string &service,
                                                  const std::string &upstream) const
{
    const auto found = m_poolIndex.find(poolKey(service, upstream));
    if (found == m_poolIndex.end())
        throw steering_error("unknown upstream '" + upstream + "' of service '" + service + "'");
    return found->second;
}

slot_allocator::index slot_allocator::serviceIndexOf(const std::string &service) const
{
    const auto found = m_serviceIndex.find(service);
    if (found == m_serviceIndex.end())
        throw steering_error("unknown service '" + service + "'");
    return found->second;
}

milliseconds slot_allocator::predecessorTimeout(const service_state &service) const
{
    return m_settings.clockError + m_settings.leaderOverlap + service.rules.requestDeadline;
}

milliseconds slot_allocator::silenceTimeout(const service_state &service) const
{
    return slot_lease::duration + predecessorTimeout(service);
}

milliseconds slot_allocator::silenceTimeout(const std::string &service) const
{
    return silenceTimeout(m_services[serviceIndexOf(service)]);
}

bool slot_allocator::mayReceiveGrants(const holder_state &holder,
                                      const service_state &service) const
{
    return holder.isAdopted
        && (!holder.mustWaitForPredecessor
            || m_now >= holder.firstReportAt + predecessorTimeout(service));
}

// Once true, it stays true: a later interruption of the quorum does not invalidate adopted claims.
bool slot_allocator::updateHandover(service_state &service) const
{
    if (service.isHandoverDone)
        return true;
    const bool allMembersAdopted
        = m_settings.membersAreComplete && std::ranges::all_of(m_holders, [&](const auto &item) {
              return !item.second.isMember || mayReceiveGrants(item.second, service);
          });
    service.isHandoverDone = allMembersAdopted || m_now >= m_quorumSince + silenceTimeout(service);
    return service.isHandoverDone;
}

bool slot_allocator::isHandoverComplete(const std::string &service) const
{
    return m_services[serviceIndexOf(service)].isHandoverDone;
}

// Reserved slot j of the k-th upstream of a region belongs to position k + j * n / 2 (mod n),
// shifted by the index of the service. Each of the n positions then owns about as many reserved
// slots as the others, and a larger share adds reserved slots without reassigning any.
void slot_allocator::assignReservedSlots(index poolIndex)
{
    pool_state &pool = m_pools[poolIndex];
    const service_state &service = m_services[pool.service];
    pool.reservedOwners.clear();
    const auto found = m_settings.positions.find(pool.spec.region);
    if (found == m_settings.positions.end() || found->second == 0)
        return;
    const std::uint32_t n = found->second;
    const auto &peers = service.regions[pool.region].pools;
    const auto k = static_cast<std::uint32_t>(std::ranges::find(peers, poolIndex) - peers.begin());
    const std::uint32_t stride = std::max(n / 2, 1U);
    const double share
        = std::max(service.rules.reservedShare, service.rules.maxAppliedReservedShare);
    const std::uint32_t count = reservedSlotCount(share, pool.spec.slots);
    for (std::uint32_t j = 0; j < count; ++j)
        pool.reservedOwners.push_back((pool.service + k + j * stride) % n);
}

std::uint32_t slot_allocator::rampedCapacity(const pool_state &pool) const
{
    if (pool.isDrained)
        return 0;
    std::uint32_t capacity = std::min(pool.spec.slots, pool.capacityLimit);
    const milliseconds warmup = m_services[pool.service].rules.warmup;
    if (pool.startedAt && warmup > milliseconds(0)) {
        const double progress = std::chrono::duration<double>(m_now - *pool.startedAt)
            / std::chrono::duration<double>(warmup);
        const auto ramped = 1
            + static_cast<std::uint32_t>(std::clamp(progress, 0.0, 1.0)
                                         * (std::max(pool.spec.slots, 1U) - 1));
        capacity = std::min(capacity, ramped);
    }
    return capacity;
}

// Recomputes capacities, reserved slots and sums of one service after a change of its rules or
// state.
void slot_allocator::refreshService(index serviceIndex)
{
    service_state &service = m_services[serviceIndex];
    for (region_state &region : service.regions) {
        std::uint32_t slots = 0;
        for (const index poolIndex : region.pools)
            slots += m_pools[poolIndex].spec.slots;
        // The small term keeps a product such as 0.9 * 10 from being rounded down to 8.
        region.limit = static_cast<std::uint32_t>(
            std::floor(std::clamp(service.rules.regionLimit, 0.0, 1.0) * slots + 1e-9));
        region.charged = 0;
        region.granted = 0;
        std::uint32_t reservableLeft = region.limit;
        for (const index poolIndex : region.pools) {
            pool_state &pool = m_pools[poolIndex];
            assignReservedSlots(poolIndex);
            pool.capacity = rampedCapacity(pool);
            pool.activeReserved
                = std::min({reservedSlotCount(service.rules.reservedShare, pool.spec.slots),
                            pool.reserved(), pool.capacity, reservableLeft});
            reservableLeft -= pool.activeReserved;
            region.charged += pool.reserved();
            region.granted += pool.reserved();
            pool.chargedOverReserved = 0;
            pool.chargedOverActive = 0;
            pool.targetOverReserved = 0;
            pool.targetOverActive = 0;
        }
    }
    for (auto &[name, holder] : m_holders) {
        for (const index poolIndex : service.pools) {
            const pool_state &pool = m_pools[poolIndex];
            pool_allocation &allocation = holder.allocations[poolIndex];
            const std::uint32_t previousActiveReserved = allocation.activeReserved;
            allocation.reserved = 0;
            allocation.activeReserved = 0;
            if (holder.isMember && holder.member.position
                && holder.member.region == pool.spec.region) {
                for (index reservedIndex = 0; reservedIndex < pool.reserved(); ++reservedIndex) {
                    if (pool.reservedOwners[reservedIndex] != *holder.member.position)
                        continue;
                    ++allocation.reserved;
                    if (reservedIndex < pool.activeReserved)
                        ++allocation.activeReserved;
                }
            }
            // A grant states the active reserved slots, so a change of them needs a new epoch.
            if (allocation.activeReserved != previousActiveReserved)
                allocation.epoch = nextEpoch();
            updateSums(allocation, poolIndex, true);
        }
    }
}

void slot_allocator::updateSums(const pool_allocation &allocation, index poolIndex, bool isAdded)
{
    pool_state &pool = m_pools[poolIndex];
    region_state &region = m_services[pool.service].regions[pool.region];
    const auto apply = [isAdded](std::uint32_t &sum, std::uint32_t amount) {
        sum = isAdded ? sum + amount : sum - amount;
    };
    const std::uint32_t charge = allocation.committed + allocation.predecessorCommitted;
    apply(pool.chargedOverReserved, excessOver(charge, allocation.reserved));
    apply(pool.chargedOverActive, excessOver(charge, allocation.activeReserved));
    apply(region.charged, excessOver(charge, allocation.reserved));
    apply(pool.targetOverReserved, excessOver(allocation.target, allocation.reserved));
    apply(pool.targetOverActive, excessOver(allocation.target, allocation.activeReserved));
    apply(region.granted, excessOver(allocation.target, allocation.reserved));
}

void slot_allocator::replaceAllocation(holder_state &holder, index poolIndex,
                                       const pool_allocation &changed)
{
    pool_allocation &allocation = holder.allocations[poolIndex];
    updateSums(allocation, poolIndex, false);
    service_demand &demand = holder.demands[m_pools[poolIndex].service];
    demand.total = demand.total - allocation.target + changed.target;
    allocation = changed;
    updateSums(allocation, poolIndex, true);
}

void slot_allocator::setTarget(holder_state &holder, index poolIndex, std::uint32_t target)
{
    pool_allocation changed = holder.allocations[poolIndex];
    if (changed.target == target)
        return;
    changed.epoch = nextEpoch();
    if (target < changed.target)
        changed.loweredEpoch = changed.epoch;
    changed.target = target;
    changed.committed = std::max(changed.committed, target);
    replaceAllocation(holder, poolIndex, changed);
}

void slot_allocator::setMembers(const std::vector<slot_member> &members, steady_time now)
{
    m_now = std::max(m_now, now);
    for (auto &[name, holder] : m_holders)
        holder.isMember = false;
    for (const slot_member &member : members) {
        holder_state &holder = m_holders[member.instance];
        holder.member = member;
        holder.isMember = true;
        holder.allocations.resize(m_pools.size());
        holder.demands.resize(m_services.size());
    }
    for (index i = 0; i < m_services.size(); ++i)
        refreshService(i);
    for (auto &[name, holder] : m_holders) {
        for (index i = 0; !holder.isMember && i < m_pools.size(); ++i)
            setTarget(holder, i, 0);
    }
    advance(m_now);
}

void slot_allocator::setRules(const std::string &service, const slot_rules &rules)
{
    const index found = serviceIndexOf(service);
    m_services[found].rules = rules;
    refreshService(found);
}

void slot_allocator::setDrained(const std::string &service, const std::string &upstream,
                                bool isDrained)
{
    pool_state &pool = m_pools[poolIndexOf(service, upstream)];
    pool.isDrained = isDrained;
    refreshService(pool.service);
}

void slot_allocator::upstreamStarted(const std::string &service, const std::string &upstream,
                                     steady_time now)
{
    m_now = std::max(m_now, now);
    pool_state &pool = m_pools[poolIndexOf(service, upstream)];
    pool.startedAt = now;
    refreshService(pool.service);
}

void slot_allocator::setCapacity(const std::string &service, const std::string &upstream,
                                 std::uint32_t capacity)
{
    pool_state &pool = m_pools[poolIndexOf(service, upstream)];
    if (pool.capacityLimit == capacity)
        return;
    pool.capacityLimit = capacity;
    refreshService(pool.service);
}

void slot_allocator::setQuorumSince(steady_time since)
{
    m_quorumSince = std::max(m_quorumSince, since);
}

void slot_allocator::advance(steady_time now)
{
    m_now = std::max(m_now, now);
    for (index serviceIndex = 0; serviceIndex < m_services.size(); ++serviceIndex) {
        service_state &service = m_services[serviceIndex];
        bool isRamping = false;
        for (const index poolIndex : service.pools) {
            pool_state &pool = m_pools[poolIndex];
            if (!pool.startedAt)
                continue;
            isRamping = isRamping || rampedCapacity(pool) != pool.capacity;
            if (m_now >= *pool.startedAt + service.rules.warmup)
                pool.startedAt.reset();
        }
        if (isRamping)
            refreshService(serviceIndex);
        updateHandover(service);
        for (auto &[name, holder] : m_holders) {
            if (!holder.hasReported)
                continue;
            const bool isPredecessorDone
                = m_now >= holder.firstReportAt + predecessorTimeout(service);
            const bool isSilent
                = m_now >= std::max({holder.lastReplyAt, holder.firstReportAt, m_quorumSince})
                    + silenceTimeout(service);
            if (isSilent)
                holder.demands[serviceIndex].estimate = 0;
            for (const index poolIndex : service.pools) {
                pool_allocation changed = holder.allocations[poolIndex];
                if (isPredecessorDone)
                    changed.predecessorCommitted = 0;
                // The holder may report again before it has received this reduction; the new epoch
                // makes it apply the reduction.
                if (isSilent
                    && (changed.target > changed.activeReserved
                        || changed.committed > changed.activeReserved)) {
                    changed.target = std::min(changed.target, changed.activeReserved);
                    changed.committed = changed.target;
                    changed.epoch = nextEpoch();
                    changed.loweredEpoch = changed.epoch;
                }
                replaceAllocation(holder, poolIndex, changed);
            }
        }
    }
    std::erase_if(m_holders, [](const auto &item) {
        return !item.second.isMember
            && std::ranges::all_of(item.second.allocations, [](const pool_allocation &allocation) {
                   return allocation.committed == 0 && allocation.predecessorCommitted == 0;
               });
    });
}

void slot_allocator::beginIncarnation(holder_state &holder, const slot_report &report)
{
    const bool hadGrants = holder.isAdopted;
    for (index i = 0; i < m_pools.size(); ++i) {
        pool_allocation changed = holder.allocations[i];
        changed.predecessorCommitted += changed.committed;
        changed.committed = 0;
        changed.target = 0;
        changed.epoch = 0;
        changed.loweredEpoch = 0;
        changed.appliedEpoch = 0;
        replaceAllocation(holder, i, changed);
    }
    for (service_demand &demand : holder.demands)
        demand.estimate = 0;
    holder.incarnation = report.incarnation;
    holder.hasReported = true;
    holder.isAdopted = false;
    holder.firstReportAt = m_now;
    holder.lastReplyAt = steady_time::min();
    holder.mustWaitForPredecessor
        = hadGrants || std::ranges::none_of(report.pools, [](const pool_report &pool) {
              return pool.held > 0 || (pool.epoch & epochCounterMask) != 0;
          });
}

// Updates the holder's allocations from its report, or adopts its claims if this is the first
// report of this term. A reported in-flight count bounds the holder's use if the report was built
// after the holder applied the last lowering. Returns false if the holder has not seen this term
// yet.
bool slot_allocator::applyPoolReports(holder_state &holder, const slot_report &report)
{
    const allocation_epoch firstEpochOfTerm = epochOfTerm(m_settings.term);
    if (report.pools.empty() || std::ranges::any_of(report.pools, [&](const pool_report &pool) {
            return pool.epoch < firstEpochOfTerm;
        }))
        return false;
    for (const pool_report &pool : report.pools) {
        const auto found = m_poolIndex.find(poolKey(pool.service, pool.upstream));
        if (found == m_poolIndex.end())
            continue;
        if (!holder.isAdopted) {
            adoptClaim(holder, found->second, pool);
            continue;
        }
        pool_allocation changed = holder.allocations[found->second];
        changed.appliedEpoch = std::max(changed.appliedEpoch, pool.epoch);
        if (pool.epoch >= changed.loweredEpoch)
            changed.committed
                = std::min(changed.committed, std::max(changed.target, pool.inFlight));
        // A holder that follows the protocol only exceeds the bound in a late report; its next
        // report corrects that.
        changed.committed = std::max(changed.committed, pool.inFlight);
        replaceAllocation(holder, found->second, changed);
    }
    holder.isAdopted = true;
    return true;
}

void slot_allocator::adoptClaim(holder_state &holder, index poolIndex, const pool_report &claim)
{
    const pool_state &pool = m_pools[poolIndex];
    pool_allocation changed = holder.allocations[poolIndex];
    // Adopted claims are consistent (see 4 in the header). The bound on the target guards against a
    // holder that violates the protocol.
    const std::uint32_t available = excessOver(pool.spec.slots, pool.charged()) + changed.reserved;
    changed.committed = std::max(claim.held, claim.inFlight);
    changed.target = std::min(claim.held, available);
    changed.epoch = nextEpoch();
    changed.loweredEpoch = changed.target < claim.held ? changed.epoch : 0;
    changed.appliedEpoch = claim.epoch;
    replaceAllocation(holder, poolIndex, changed);
}

void slot_allocator::applyDemand(holder_state &holder, const slot_report &report)
{
    for (const demand_report &demand : report.demands) {
        const auto found = m_serviceIndex.find(demand.service);
        if (found == m_serviceIndex.end())
            continue;
        service_demand &recorded = holder.demands[found->second];
        const double served = static_cast<double>(demand.peakInFlight) + demand.waiting;
        // Refusals are counted per second, not at a point in time, so that they at most double the
        // estimate (or add `minGrantStep`).
        const double refused = std::min<double>(demand.refused, served + minGrantStep);
        recorded.estimate = std::max(served + refused, recorded.estimate * demandDecay);
    }
}

bool slot_allocator::canGrantSlot(const holder_state &holder, index poolIndex, bool isLeased) const
{
    const pool_state &pool = m_pools[poolIndex];
    const pool_allocation &allocation = holder.allocations[poolIndex];
    const std::uint32_t target = allocation.target + 1;
    // A reserved slot is already set aside, unless the reserved share has just grown and the slot
    // is still leased.
    if (target <= allocation.activeReserved)
        return pool.charged() <= pool.spec.slots;
    if (!isLeased)
        return false;
    const region_state &region = m_services[pool.service].regions[pool.region];
    if (pool.activeReserved + pool.targetOverActive >= pool.capacity
        || region.granted >= region.limit)
        return false;
    // The slot is already charged, but a late report may have raised the charge above a limit.
    if (target <= allocation.committed)
        return pool.charged() <= pool.spec.slots
            && pool.activeReserved + pool.chargedOverActive <= pool.capacity
            && region.charged <= region.limit;
    const std::uint32_t charge = allocation.committed + allocation.predecessorCommitted;
    const bool needsSlot = charge + 1 > allocation.reserved;
    return pool.charged() + (needsSlot ? 1 : 0) <= pool.spec.slots
        && pool.activeReserved + pool.chargedOverActive < pool.capacity
        && region.charged < region.limit;
}

// Lowers the holder's targets where an upstream or region exceeds its limit.
void slot_allocator::enforceLimits(holder_state &holder, service_state &service)
{
    for (const index poolIndex : service.pools) {
        const pool_state &pool = m_pools[poolIndex];
        const pool_allocation &allocation = holder.allocations[poolIndex];
        const region_state &region = service.regions[pool.region];
        const std::uint32_t excess
            = std::max({excessOver(pool.activeReserved + pool.targetOverActive, pool.capacity),
                        excessOver(pool.reserved() + pool.targetOverReserved, pool.spec.slots),
                        excessOver(region.granted, region.limit)});
        const std::uint32_t leased = excessOver(allocation.target, allocation.activeReserved);
        if (excess > 0 && leased > 0)
            setTarget(holder, poolIndex, allocation.target - std::min(excess, leased));
    }
}

std::uint32_t slot_allocator::distanceTier(const holder_state &holder, const pool_state &pool)
{
    if (pool.spec.failureDomain == holder.member.failureDomain)
        return 0;
    return pool.spec.region == holder.member.region ? 1 : 2;
}

// Computes the holder's share of the service by max-min fairness over the demands. Slots that
// remain cover the headroom of the demands, and `spareShare` of what then remains is divided
// equally.
slot_allocator::fair_share slot_allocator::fairShare(const holder_state &holder,
                                                     index serviceIndex) const
{
    const service_state &service = m_services[serviceIndex];
    double available = 0;
    for (const region_state &region : service.regions) {
        std::uint32_t capacity = 0;
        for (const index poolIndex : region.pools)
            capacity += m_pools[poolIndex].capacity;
        available += std::min(capacity, region.limit);
    }
    // Active reserved slots are only available to their owners. Those that no known instance owns
    // stay unused.
    for (const index poolIndex : service.pools)
        available -= m_pools[poolIndex].activeReserved;
    std::vector<double> needs;
    std::vector<double> headrooms;
    std::size_t ownIndex = 0;
    for (const auto &[name, other] : m_holders) {
        std::uint32_t activeReserved = 0;
        for (const index poolIndex : service.pools)
            activeReserved += other.allocations[poolIndex].activeReserved;
        available += activeReserved;
        const service_demand &demand = other.demands[serviceIndex];
        const bool isAnswering = &other == &holder
            || (other.isAdopted && m_now < other.lastReplyAt + slot_lease::duration);
        // Slots of a silent instance cannot be reclaimed yet, so all of them count as needed.
        const double need
            = std::max(isAnswering ? demand.estimate : static_cast<double>(demand.total),
                       1.0 * activeReserved);
        if (&other == &holder)
            ownIndex = needs.size();
        needs.push_back(need);
        headrooms.push_back(
            isAnswering ? std::max(std::ceil(demand.estimate * demandHeadroom) + 1 - need, 0.0)
                        : 0);
    }
    const double total = std::accumulate(needs.begin(), needs.end(), 0.0);
    const double totalHeadroom = std::accumulate(headrooms.begin(), headrooms.end(), 0.0);
    const double left = available - total;
    std::vector<double> shares(needs.size());
    if (left >= totalHeadroom) {
        const double spare
            = spareShare * (left - totalHeadroom) / static_cast<double>(needs.size());
        std::ranges::transform(needs, headrooms, shares.begin(), [&](double need, double headroom) {
            return need + headroom + spare;
        });
    } else if (left >= 0) {
        std::ranges::transform(needs, headrooms, shares.begin(), [&](double need, double headroom) {
            return need + headroom * left / totalHeadroom;
        });
    } else {
        const double level = maxMinLevel(needs, available);
        std::ranges::transform(needs, shares.begin(),
                               [&](double need) { return std::min(need, level); });
    }
    return {roundedShare(shares, ownIndex), left < totalHeadroom};
}

// Revokes up to `count` leased slots, most distant upstreams first.
void slot_allocator::revokeSlots(holder_state &holder, const service_state &service,
                                 std::uint32_t count)
{
    for (std::uint32_t tier = distanceTiers; tier-- > 0;) {
        for (bool found = true; found && count > 0;) {
            found = false;
            for (const index poolIndex : service.pools) {
                const pool_allocation &allocation = holder.allocations[poolIndex];
                if (count == 0 || distanceTier(holder, m_pools[poolIndex]) != tier
                    || allocation.target <= allocation.activeReserved)
                    continue;
                setTarget(holder, poolIndex, allocation.target - 1);
                --count;
                found = true;
            }
        }
    }
}

// Grants up to `count` free slots at upstreams of the first `tierCount` tiers, nearest first and
// one by one so that they are spread evenly. Returns the number granted.
std::uint32_t slot_allocator::grantSlots(holder_state &holder, const service_state &service,
                                         std::uint32_t count, std::uint32_t tierCount)
{
    std::uint32_t raised = 0;
    for (std::uint32_t tier = 0; tier < tierCount; ++tier) {
        for (bool found = true; found && raised < count;) {
            found = false;
            for (const index poolIndex : service.pools) {
                const pool_state &pool = m_pools[poolIndex];
                if (raised == count || distanceTier(holder, pool) != tier
                    || !canGrantSlot(holder, poolIndex, true))
                    continue;
                if (tier == 2 && pool.unmetDemandAt
                    && m_now < *pool.unmetDemandAt + unmetDemandLifetime)
                    continue;
                setTarget(holder, poolIndex, holder.allocations[poolIndex].target + 1);
                ++raised;
                found = true;
            }
        }
    }
    return raised;
}

// Exchanges leased slots in other regions for free ones in the own region. If there are none,
// records the unmet demand at the own region's upstreams; instances of other regions that hold
// slots there then give up one per report.
void slot_allocator::improveLocality(holder_state &holder, const service_state &service)
{
    std::uint32_t remote = 0;
    for (const index poolIndex : service.pools) {
        const pool_allocation &allocation = holder.allocations[poolIndex];
        if (distanceTier(holder, m_pools[poolIndex]) == 2)
            remote += excessOver(allocation.target, allocation.activeReserved);
    }
    if (remote == 0)
        return;
    const std::uint32_t moved = grantSlots(holder, service, 1 + remote / 2, 2);
    if (moved > 0) {
        revokeSlots(holder, service, std::min(moved, remote));
        return;
    }
    for (const index poolIndex : service.pools) {
        pool_state &pool = m_pools[poolIndex];
        if (distanceTier(holder, pool) < 2 && pool.capacity > 0)
            pool.unmetDemandAt = m_now;
    }
    for (const index poolIndex : service.pools) {
        const pool_state &pool = m_pools[poolIndex];
        const pool_allocation &allocation = holder.allocations[poolIndex];
        if (distanceTier(holder, pool) == 2 && allocation.target > allocation.activeReserved
            && pool.unmetDemandAt && m_now < *pool.unmetDemandAt + unmetDemandLifetime) {
            setTarget(holder, poolIndex, allocation.target - 1);
            return;
        }
    }
}

std::string_view slot_allocator::rebalance(holder_state &holder, index serviceIndex,
                                           decision_record *record)
{
    service_state &service = m_services[serviceIndex];
    if (!mayReceiveGrants(holder, service))
        return "start-wait";
    enforceLimits(holder, service);
    const bool isHandoverDone = updateHandover(service);
    for (const index poolIndex : service.pools) {
        while (isHandoverDone && canGrantSlot(holder, poolIndex, false))
            setTarget(holder, poolIndex, holder.allocations[poolIndex].target + 1);
    }
    const std::uint32_t current = holder.demands[serviceIndex].total;
    const fair_share fair = fairShare(holder, serviceIndex);
    if (record != nullptr) {
        record->addInput("granted " + service.name, fmt::to_string(current));
        record->addInput("fair_share " + service.name, fmt::to_string(fair.slots));
        record->addInput("demand " + service.name,
                         fmt::format("{:.1f}", holder.demands[serviceIndex].estimate));
    }
    if (!isHandoverDone)
        return "handover-wait";
    const std::uint32_t share = fair.slots;
    // Without contention, one slot above the share does not justify a revocation.
    const std::uint32_t tolerance = fair.isContended ? 0 : 1;
    std::string_view rule = "unchanged";
    if (current > share + tolerance) {
        // Each report revokes half of the surplus, so that slots are still granted if the demand
        // returns soon.
        revokeSlots(holder, service, (current - share + 1) / 2);
        rule = "lowered";
    } else if (current < share) {
        const std::uint32_t step = std::min(share - current, std::max(minGrantStep, current));
        rule = grantSlots(holder, service, step, distanceTiers) > 0 ? "raised" : "no-free-slot";
    }
    improveLocality(holder, service);
    return rule;
}

slot_reply slot_allocator::report(const slot_report &report, steady_time now,
                                  decision_record *record)
{
    m_now = std::max(m_now, now);
    slot_reply reply;
    reply.term = m_settings.term;
    const auto explain = [&](std::string_view rule) {
        if (record != nullptr) {
            record->kind = decision_kind::allocation;
            record->setRule(rule);
        }
    };
    const auto found = m_holders.find(report.instance);
    if (found == m_holders.end() || !found->second.isMember) {
        explain("not-a-member");
        return reply;
    }
    holder_state &holder = found->second;
    if (holder.hasReported && report.incarnation < holder.incarnation) {
        explain("earlier-incarnation");
        return reply;
    }
    const allocation_epoch lastEpochOfTerm = epochOfTerm(m_settings.term) + epochCounterMask;
    if (std::ranges::any_of(
            report.pools, [&](const pool_report &pool) { return pool.epoch > lastEpochOfTerm; })) {
        explain("later-term");
        return reply;
    }
    reply.isAccepted = true;
    if (!holder.hasReported || report.incarnation > holder.incarnation)
        beginIncarnation(holder, report);
    if (!applyPoolReports(holder, report)) {
        explain("term-announced");
        return reply;
    }
    applyDemand(holder, report);
    holder.lastReplyAt = m_now;
    std::string_view rule = "unchanged";
    for (index i = 0; i < m_services.size(); ++i) {
        if (const std::string_view serviceRule = rebalance(holder, i, record);
            serviceRule != "unchanged")
            rule = serviceRule;
    }
    for (const pool_report &pool : report.pools) {
        const auto known = m_poolIndex.find(poolKey(pool.service, pool.upstream));
        if (known == m_poolIndex.end()
            || !mayReceiveGrants(holder, m_services[m_pools[known->second].service]))
            continue;
        const pool_allocation &allocation = holder.allocations[known->second];
        // Nothing is granted, and the holder has applied that.
        if (allocation.target == 0 && allocation.appliedEpoch >= allocation.epoch)
            continue;
        reply.grants.push_back(
            {pool.service,
             pool.upstream,
             {allocation.target, std::min(allocation.target, allocation.activeReserved),
              allocation.epoch}});
    }
    explain(rule);
    return reply;
}

slot_allocator::pool_status slot_allocator::status(const std::string &service,
                                                   const std::string &upstream) const
{
    const pool_state &pool = m_pools[poolIndexOf(service, upstream)];
    return {pool.spec.slots, pool.capacity, pool.reserved(), pool.charged()};
}

std::uint32_t slot_allocator::granted(const std::string &instance, const std::string &service,
                                      const std::string &upstream) const
{
    const auto found = m_holders.find(instance);
    return found == m_holders.end()
        ? 0
        : found->second.allocations[poolIndexOf(service, upstream)].target;
}

} // namespace buckthorngrade
