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
constexpr std::uint32_t minRaise = 4;
// Fraction of the unrequested slots that is granted ahead of demand. The rest stays free, so that
// it can be granted without a revocation.
constexpr double spareShare = 0.5;
constexpr std::uint32_t tiers = 3; // same failure domain, same region, other regions
// Unmet demand for slots in the own region is disregarded after a few report periods.
constexpr milliseconds wishLifetime{3000};

std::string poolKey(const std::string &service, const std::string &upstream)
{
    return service + '\n' + upstream;
}

std::uint32_t beyond(std::uint32_t value, std::uint32_t seats)
{
    return value > seats ? value - seats : 0;
}

std::uint32_t seatCount(double share, std::uint32_t slots)
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
    double unshared = std::max(available, 0.0);
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const double level = unshared / static_cast<double>(needs.size() - i);
        if (needs[i] >= level)
            return level;
        unshared -= needs[i];
    }
    return needs.empty() ? 0 : needs.back();
}

// Rounds `shares` to whole slots and returns the result for the share at `own`. Each share is
// rounded down, and the remaining slots go, one each, to the first shares that have a fraction.
// With rounding down alone, 2 instances at a limit of 3 would use only 2 slots, and a limit that
// grows with use would never grow.
std::uint32_t wholeShare(const std::vector<double> &shares, std::size_t own)
{
    constexpr double tolerance = 1e-6; // for rounding errors of sums
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    double floors = 0;
    std::size_t fractionsBefore = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double floor = std::floor(shares[i] + tolerance);
        floors += floor;
        if (i < own && shares[i] - floor > tolerance)
            ++fractionsBefore;
    }
    const double leftOver = std::floor(sum + tolerance) - floors;
    const double floor = std::floor(shares[own] + tolerance);
    const bool getsOne
        = shares[own] - floor > tolerance && static_cast<double>(fractionsBefore) < leftOver;
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
        state.capacityBound = pool.slots;
        state.spec = std::move(pool);
        m_pools.push_back(std::move(state));
    }
    for (index i = 0; i < m_services.size(); ++i)
        refreshService(i);
}

slot_allocator::index slot_allocator::poolAt(const std::string &service,
                                             const std::string &upstream) const
{
    const auto found = m_poolIndex.find(poolKey(service, upstream));
    if (found == m_poolIndex.end())
        throw steering_error("unknown upstream '" + upstream + "' of service '" + service + "'");
    return found->second;
}

slot_allocator::index slot_allocator::serviceAt(const std::string &service) const
{
    const auto found = m_serviceIndex.find(service);
    if (found == m_serviceIndex.end())
        throw steering_error("unknown service '" + service + "'");
    return found->second;
}

milliseconds slot_allocator::settleTime(const service_state &service) const
{
    return m_settings.clockError + m_settings.leaderOverlap + service.rules.requestDeadline;
}

milliseconds slot_allocator::silenceTime(const service_state &service) const
{
    return slot_lease::duration + settleTime(service);
}

milliseconds slot_allocator::silenceLimit(const std::string &service) const
{
    return silenceTime(m_services[serviceAt(service)]);
}

bool slot_allocator::isStarted(const row &item, const service_state &service) const
{
    return item.isAdopted && (!item.isFresh || m_now >= item.firstSeen + settleTime(service));
}

// Once true, it stays true: a later interruption of the quorum does not invalidate adopted claims.
bool slot_allocator::checkHandover(service_state &service) const
{
    if (service.isHandedOver)
        return true;
    const bool allKnown
        = m_settings.membersAreComplete && std::ranges::all_of(m_rows, [&](const auto &item) {
              return !item.second.isMember || isStarted(item.second, service);
          });
    service.isHandedOver = allKnown || m_now >= m_quorumSince + silenceTime(service);
    return service.isHandedOver;
}

bool slot_allocator::isHandoverComplete(const std::string &service) const
{
    return m_services[serviceAt(service)].isHandedOver;
}

// Reserved slot j of the k-th upstream of a region belongs to position k + j * n / 2 (mod n),
// shifted by the index of the service. Each of the n positions then owns about as many reserved
// slots as the others, and a larger share adds reserved slots without reassigning any.
void slot_allocator::layOutSeats(index poolIndex)
{
    pool_state &pool = m_pools[poolIndex];
    const service_state &service = m_services[pool.service];
    pool.seatPositions.clear();
    const auto found = m_settings.positions.find(pool.spec.region);
    if (found == m_settings.positions.end() || found->second == 0)
        return;
    const std::uint32_t n = found->second;
    const auto &peers = service.regions[pool.region].pools;
    const auto k = static_cast<std::uint32_t>(std::ranges::find(peers, poolIndex) - peers.begin());
    const std::uint32_t stride = std::max(n / 2, 1U);
    const double share = std::max(service.rules.reservedShare, service.rules.heldReservedShare);
    const std::uint32_t count = seatCount(share, pool.spec.slots);
    for (std::uint32_t j = 0; j < count; ++j)
        pool.seatPositions.push_back((pool.service + k + j * stride) % n);
}

std::uint32_t slot_allocator::rampedCapacity(const pool_state &pool) const
{
    if (pool.isDrained)
        return 0;
    std::uint32_t capacity = std::min(pool.spec.slots, pool.capacityBound);
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
        std::uint32_t seatsLeft = region.limit;
        for (const index poolIndex : region.pools) {
            pool_state &pool = m_pools[poolIndex];
            layOutSeats(poolIndex);
            pool.capacity = rampedCapacity(pool);
            pool.activeSeats = std::min({seatCount(service.rules.reservedShare, pool.spec.slots),
                                         pool.seats(), pool.capacity, seatsLeft});
            seatsLeft -= pool.activeSeats;
            region.charged += pool.seats();
            region.granted += pool.seats();
            pool.chargedBeyondSeats = 0;
            pool.chargedBeyondActive = 0;
            pool.targetBeyondSeats = 0;
            pool.targetBeyondActive = 0;
        }
    }
    for (auto &[name, item] : m_rows) {
        for (const index poolIndex : service.pools) {
            const pool_state &pool = m_pools[poolIndex];
            entry &cell = item.entries[poolIndex];
            const std::uint32_t wasActive = cell.active;
            cell.seats = 0;
            cell.active = 0;
            if (item.isMember && item.member.position && item.member.region == pool.spec.region) {
                for (index seat = 0; seat < pool.seats(); ++seat) {
                    if (pool.seatPositions[seat] != *item.member.position)
                        continue;
                    ++cell.seats;
                    if (seat < pool.activeSeats)
                        ++cell.active;
                }
            }
            // A grant states the active reserved slots, so a change of them needs a new epoch.
            if (cell.active != wasActive)
                cell.epoch = nextEpoch();
            addCharges(cell, poolIndex, true);
        }
    }
}

void slot_allocator::addCharges(const entry &item, index poolIndex, bool isAdded)
{
    pool_state &pool = m_pools[poolIndex];
    region_state &region = m_services[pool.service].regions[pool.region];
    const auto apply = [isAdded](std::uint32_t &sum, std::uint32_t amount) {
        sum = isAdded ? sum + amount : sum - amount;
    };
    const std::uint32_t charge = item.committed + item.retired;
    apply(pool.chargedBeyondSeats, beyond(charge, item.seats));
    apply(pool.chargedBeyondActive, beyond(charge, item.active));
    apply(region.charged, beyond(charge, item.seats));
    apply(pool.targetBeyondSeats, beyond(item.target, item.seats));
    apply(pool.targetBeyondActive, beyond(item.target, item.active));
    apply(region.granted, beyond(item.target, item.seats));
}

void slot_allocator::change(row &item, index poolIndex, const entry &changed)
{
    entry &cell = item.entries[poolIndex];
    addCharges(cell, poolIndex, false);
    service_demand &demand = item.demands[m_pools[poolIndex].service];
    demand.total = demand.total - cell.target + changed.target;
    cell = changed;
    addCharges(cell, poolIndex, true);
}

void slot_allocator::setTarget(row &item, index poolIndex, std::uint32_t target)
{
    entry changed = item.entries[poolIndex];
    if (changed.target == target)
        return;
    changed.epoch = nextEpoch();
    if (target < changed.target)
        changed.loweredEpoch = changed.epoch;
    changed.target = target;
    changed.committed = std::max(changed.committed, target);
    change(item, poolIndex, changed);
}

void slot_allocator::setMembers(const std::vector<slot_member> &members, steady_time now)
{
    m_now = std::max(m_now, now);
    for (auto &[name, item] : m_rows)
        item.isMember = false;
    for (const slot_member &member : members) {
        row &item = m_rows[member.instance];
        item.member = member;
        item.isMember = true;
        item.entries.resize(m_pools.size());
        item.demands.resize(m_services.size());
    }
    for (index i = 0; i < m_services.size(); ++i)
        refreshService(i);
    for (auto &[name, item] : m_rows) {
        for (index i = 0; !item.isMember && i < m_pools.size(); ++i)
            setTarget(item, i, 0);
    }
    advance(m_now);
}

void slot_allocator::setRules(const std::string &service, const slot_rules &rules)
{
    const index found = serviceAt(service);
    m_services[found].rules = rules;
    refreshService(found);
}

void slot_allocator::setDrained(const std::string &service, const std::string &upstream,
                                bool isDrained)
{
    pool_state &pool = m_pools[poolAt(service, upstream)];
    pool.isDrained = isDrained;
    refreshService(pool.service);
}

void slot_allocator::upstreamStarted(const std::string &service, const std::string &upstream,
                                     steady_time now)
{
    m_now = std::max(m_now, now);
    pool_state &pool = m_pools[poolAt(service, upstream)];
    pool.startedAt = now;
    refreshService(pool.service);
}

void slot_allocator::setCapacity(const std::string &service, const std::string &upstream,
                                 std::uint32_t capacity)
{
    pool_state &pool = m_pools[poolAt(service, upstream)];
    if (pool.capacityBound == capacity)
        return;
    pool.capacityBound = capacity;
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
        checkHandover(service);
        for (auto &[name, item] : m_rows) {
            if (!item.isContacted)
                continue;
            const bool isSettled = m_now >= item.firstSeen + settleTime(service);
            const bool isSilent = m_now
                >= std::max({item.lastReply, item.firstSeen, m_quorumSince}) + silenceTime(service);
            if (isSilent)
                item.demands[serviceIndex].estimate = 0;
            for (const index poolIndex : service.pools) {
                entry changed = item.entries[poolIndex];
                if (isSettled)
                    changed.retired = 0;
                // The holder may report again before it has received this reduction; the new epoch
                // makes it apply the reduction.
                if (isSilent
                    && (changed.target > changed.active || changed.committed > changed.active)) {
                    changed.target = std::min(changed.target, changed.active);
                    changed.committed = changed.target;
                    changed.epoch = nextEpoch();
                    changed.loweredEpoch = changed.epoch;
                }
                change(item, poolIndex, changed);
            }
        }
    }
    std::erase_if(m_rows, [](const auto &item) {
        return !item.second.isMember
            && std::ranges::all_of(item.second.entries, [](const entry &cell) {
                   return cell.committed == 0 && cell.retired == 0;
               });
    });
}

void slot_allocator::beginIncarnation(row &item, const slot_report &report)
{
    const bool hadGrants = item.isAdopted;
    for (index i = 0; i < m_pools.size(); ++i) {
        entry changed = item.entries[i];
        changed.retired += changed.committed;
        changed.committed = 0;
        changed.target = 0;
        changed.epoch = 0;
        changed.loweredEpoch = 0;
        changed.appliedEpoch = 0;
        change(item, i, changed);
    }
    for (service_demand &demand : item.demands)
        demand.estimate = 0;
    item.incarnation = report.incarnation;
    item.isContacted = true;
    item.isAdopted = false;
    item.firstSeen = m_now;
    item.lastReply = steady_time::min();
    item.isFresh = hadGrants || std::ranges::none_of(report.pools, [](const pool_report &pool) {
                       return pool.held > 0 || (pool.epoch & epochCounterMask) != 0;
                   });
}

// Updates the holder's allocations from its report, or adopts its claims if this is the first
// report of this term. A reported in-flight count bounds the holder's use if the report was built
// after the holder applied the last lowering. Returns false if the holder has not seen this term
// yet.
bool slot_allocator::ingest(row &item, const slot_report &report)
{
    const allocation_epoch base = epochOfTerm(m_settings.term);
    if (report.pools.empty() || std::ranges::any_of(report.pools, [&](const pool_report &pool) {
            return pool.epoch < base;
        }))
        return false;
    for (const pool_report &pool : report.pools) {
        const auto found = m_poolIndex.find(poolKey(pool.service, pool.upstream));
        if (found == m_poolIndex.end())
            continue;
        if (!item.isAdopted) {
            adopt(item, found->second, pool);
            continue;
        }
        entry changed = item.entries[found->second];
        changed.appliedEpoch = std::max(changed.appliedEpoch, pool.epoch);
        if (pool.epoch >= changed.loweredEpoch)
            changed.committed
                = std::min(changed.committed, std::max(changed.target, pool.inFlight));
        // A holder that follows the protocol only exceeds the bound in a late report; its next
        // report corrects that.
        changed.committed = std::max(changed.committed, pool.inFlight);
        change(item, found->second, changed);
    }
    item.isAdopted = true;
    return true;
}

void slot_allocator::adopt(row &item, index poolIndex, const pool_report &claim)
{
    const pool_state &pool = m_pools[poolIndex];
    entry changed = item.entries[poolIndex];
    // Adopted claims are consistent (see 4 in the header). The bound on the target guards against a
    // holder that violates the protocol.
    const std::uint32_t available = beyond(pool.spec.slots, pool.charged()) + changed.seats;
    changed.committed = std::max(claim.held, claim.inFlight);
    changed.target = std::min(claim.held, available);
    changed.epoch = nextEpoch();
    changed.loweredEpoch = changed.target < claim.held ? changed.epoch : 0;
    changed.appliedEpoch = claim.epoch;
    change(item, poolIndex, changed);
}

void slot_allocator::applyDemand(row &item, const slot_report &report)
{
    for (const demand_report &demand : report.demands) {
        const auto found = m_serviceIndex.find(demand.service);
        if (found == m_serviceIndex.end())
            continue;
        service_demand &known = item.demands[found->second];
        const double served = static_cast<double>(demand.peakInFlight) + demand.waiting;
        // Refusals are counted per second, not at a point in time, so that they at most double the
        // estimate (or add `minRaise`).
        const double refused = std::min<double>(demand.refused, served + minRaise);
        known.estimate = std::max(served + refused, known.estimate * demandDecay);
    }
}

bool slot_allocator::canRaise(const row &item, index poolIndex, bool leased) const
{
    const pool_state &pool = m_pools[poolIndex];
    const entry &cell = item.entries[poolIndex];
    const std::uint32_t target = cell.target + 1;
    // A reserved slot is already set aside, unless the reserved share has just grown and the slot
    // is still leased.
    if (target <= cell.active)
        return pool.charged() <= pool.spec.slots;
    if (!leased)
        return false;
    const region_state &region = m_services[pool.service].regions[pool.region];
    if (pool.activeSeats + pool.targetBeyondActive >= pool.capacity
        || region.granted >= region.limit)
        return false;
    // The slot is already charged, but a late report may have raised the charge above a limit.
    if (target <= cell.committed)
        return pool.charged() <= pool.spec.slots
            && pool.activeSeats + pool.chargedBeyondActive <= pool.capacity
            && region.charged <= region.limit;
    const std::uint32_t charge = cell.committed + cell.retired;
    const bool needsSlot = charge + 1 > cell.seats;
    return pool.charged() + (needsSlot ? 1 : 0) <= pool.spec.slots
        && pool.activeSeats + pool.chargedBeyondActive < pool.capacity
        && region.charged < region.limit;
}

// Lowers the holder's targets where an upstream or region exceeds its limit.
void slot_allocator::enforceLimits(row &item, service_state &service)
{
    for (const index poolIndex : service.pools) {
        const pool_state &pool = m_pools[poolIndex];
        const entry &cell = item.entries[poolIndex];
        const region_state &region = service.regions[pool.region];
        const std::uint32_t excess
            = std::max({beyond(pool.activeSeats + pool.targetBeyondActive, pool.capacity),
                        beyond(pool.seats() + pool.targetBeyondSeats, pool.spec.slots),
                        beyond(region.granted, region.limit)});
        const std::uint32_t leased = beyond(cell.target, cell.active);
        if (excess > 0 && leased > 0)
            setTarget(item, poolIndex, cell.target - std::min(excess, leased));
    }
}

std::uint32_t slot_allocator::tierOf(const row &item, const pool_state &pool)
{
    if (pool.spec.failureDomain == item.member.failureDomain)
        return 0;
    return pool.spec.region == item.member.region ? 1 : 2;
}

// Computes the holder's share of the service by max-min fairness over the demands. Slots that
// remain cover the headroom of the demands, and `spareShare` of what then remains is divided
// equally.
slot_allocator::fair_share slot_allocator::fairShare(const row &item, index serviceIndex) const
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
        available -= m_pools[poolIndex].activeSeats;
    std::vector<double> needs;
    std::vector<double> headrooms;
    std::size_t own = 0;
    for (const auto &[name, other] : m_rows) {
        std::uint32_t active = 0;
        for (const index poolIndex : service.pools)
            active += other.entries[poolIndex].active;
        available += active;
        const service_demand &demand = other.demands[serviceIndex];
        const bool isAnswering = &other == &item
            || (other.isAdopted && m_now < other.lastReply + slot_lease::duration);
        // Slots of a silent instance cannot be reclaimed yet, so all of them count as needed.
        const double need = std::max(
            isAnswering ? demand.estimate : static_cast<double>(demand.total), 1.0 * active);
        if (&other == &item)
            own = needs.size();
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
    return {wholeShare(shares, own), left < totalHeadroom};
}

// Revokes up to `count` leased slots, most distant upstreams first.
void slot_allocator::lower(row &item, const service_state &service, std::uint32_t count)
{
    for (std::uint32_t tier = tiers; tier-- > 0;) {
        for (bool found = true; found && count > 0;) {
            found = false;
            for (const index poolIndex : service.pools) {
                const entry &cell = item.entries[poolIndex];
                if (count == 0 || tierOf(item, m_pools[poolIndex]) != tier
                    || cell.target <= cell.active)
                    continue;
                setTarget(item, poolIndex, cell.target - 1);
                --count;
                found = true;
            }
        }
    }
}

// Grants up to `count` free slots at upstreams of the first `tierCount` tiers, nearest first and
// one by one so that they are spread evenly. Returns the number granted.
std::uint32_t slot_allocator::raise(row &item, const service_state &service, std::uint32_t count,
                                    std::uint32_t tierCount)
{
    std::uint32_t raised = 0;
    for (std::uint32_t tier = 0; tier < tierCount; ++tier) {
        for (bool found = true; found && raised < count;) {
            found = false;
            for (const index poolIndex : service.pools) {
                const pool_state &pool = m_pools[poolIndex];
                if (raised == count || tierOf(item, pool) != tier
                    || !canRaise(item, poolIndex, true))
                    continue;
                if (tier == 2 && pool.wantedNear && m_now < *pool.wantedNear + wishLifetime)
                    continue;
                setTarget(item, poolIndex, item.entries[poolIndex].target + 1);
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
void slot_allocator::improveLocality(row &item, const service_state &service)
{
    std::uint32_t remote = 0;
    for (const index poolIndex : service.pools) {
        const entry &cell = item.entries[poolIndex];
        if (tierOf(item, m_pools[poolIndex]) == 2)
            remote += beyond(cell.target, cell.active);
    }
    if (remote == 0)
        return;
    const std::uint32_t moved = raise(item, service, 1 + remote / 2, 2);
    if (moved > 0) {
        lower(item, service, std::min(moved, remote));
        return;
    }
    for (const index poolIndex : service.pools) {
        pool_state &pool = m_pools[poolIndex];
        if (tierOf(item, pool) < 2 && pool.capacity > 0)
            pool.wantedNear = m_now;
    }
    for (const index poolIndex : service.pools) {
        const pool_state &pool = m_pools[poolIndex];
        const entry &cell = item.entries[poolIndex];
        if (tierOf(item, pool) == 2 && cell.target > cell.active && pool.wantedNear
            && m_now < *pool.wantedNear + wishLifetime) {
            setTarget(item, poolIndex, cell.target - 1);
            return;
        }
    }
}

std::string_view slot_allocator::balance(row &item, index serviceIndex, decision_record *record)
{
    service_state &service = m_services[serviceIndex];
    if (!isStarted(item, service))
        return "start-wait";
    enforceLimits(item, service);
    const bool isHandedOver = checkHandover(service);
    for (const index poolIndex : service.pools) {
        while (isHandedOver && canRaise(item, poolIndex, false))
            setTarget(item, poolIndex, item.entries[poolIndex].target + 1);
    }
    const std::uint32_t have = item.demands[serviceIndex].total;
    const fair_share fair = fairShare(item, serviceIndex);
    if (record != nullptr) {
        record->addInput("granted " + service.name, fmt::to_string(have));
        record->addInput("fair_share " + service.name, fmt::to_string(fair.slots));
        record->addInput("demand " + service.name,
                         fmt::format("{:.1f}", item.demands[serviceIndex].estimate));
    }
    if (!isHandedOver)
        return "handover-wait";
    const std::uint32_t share = fair.slots;
    // Without contention, one slot above the share does not justify a revocation.
    const std::uint32_t tolerance = fair.isContended ? 0 : 1;
    std::string_view rule = "unchanged";
    if (have > share + tolerance) {
        // Each report revokes half of the surplus, so that slots are still granted if the demand
        // returns soon.
        lower(item, service, (have - share + 1) / 2);
        rule = "lowered";
    } else if (have < share) {
        const std::uint32_t step = std::min(share - have, std::max(minRaise, have));
        rule = raise(item, service, step, tiers) > 0 ? "raised" : "no-free-slot";
    }
    improveLocality(item, service);
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
    const auto found = m_rows.find(report.instance);
    if (found == m_rows.end() || !found->second.isMember) {
        explain("not-a-member");
        return reply;
    }
    row &item = found->second;
    if (item.isContacted && report.incarnation < item.incarnation) {
        explain("earlier-incarnation");
        return reply;
    }
    const allocation_epoch nextTerm = epochOfTerm(m_settings.term) + epochCounterMask;
    if (std::ranges::any_of(report.pools,
                            [&](const pool_report &pool) { return pool.epoch > nextTerm; })) {
        explain("later-term");
        return reply;
    }
    reply.isAccepted = true;
    if (!item.isContacted || report.incarnation > item.incarnation)
        beginIncarnation(item, report);
    if (!ingest(item, report)) {
        explain("term-announced");
        return reply;
    }
    applyDemand(item, report);
    item.lastReply = m_now;
    std::string_view rule = "unchanged";
    for (index i = 0; i < m_services.size(); ++i) {
        if (const std::string_view done = balance(item, i, record); done != "unchanged")
            rule = done;
    }
    for (const pool_report &pool : report.pools) {
        const auto known = m_poolIndex.find(poolKey(pool.service, pool.upstream));
        if (known == m_poolIndex.end()
            || !isStarted(item, m_services[m_pools[known->second].service]))
            continue;
        const entry &cell = item.entries[known->second];
        // Nothing is granted, and the holder has applied that.
        if (cell.target == 0 && cell.appliedEpoch >= cell.epoch)
            continue;
        reply.grants.push_back({pool.service,
                                pool.upstream,
                                {cell.target, std::min(cell.target, cell.active), cell.epoch}});
    }
    explain(rule);
    return reply;
}

slot_allocator::pool_status slot_allocator::status(const std::string &service,
                                                   const std::string &upstream) const
{
    const pool_state &pool = m_pools[poolAt(service, upstream)];
    return {pool.spec.slots, pool.capacity, pool.seats(), pool.charged()};
}

std::uint32_t slot_allocator::granted(const std::string &instance, const std::string &service,
                                      const std::string &upstream) const
{
    const auto found = m_rows.find(instance);
    return found == m_rows.end() ? 0 : found->second.entries[poolAt(service, upstream)].target;
}

} // namespace buckthorngrade
