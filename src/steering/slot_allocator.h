#pragma once

#include "base/clock.h"
#include "steering/decision_record.h"
#include "steering/slot_lease.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthorngrade {

// Allocates request slots to entry instances, on the leading control instance. A slot permits one
// request in flight at one upstream. An instance that has been granted slots is their holder.
//
// Safety: at every upstream, the requests in flight from all instances never exceed its slots.
//
// For each instance i and upstream u the allocator keeps `target`, the number of slots last
// granted, and `committed`, an upper bound on what i can have in flight at u now or because of any
// message that is still in transit. A grant raises `committed` first. With W(u) the number of
// reserved slots of u, whether or not an instance owns them, the allocator only grants while
//     W(u) + sum over i of max(0, committed(i, u) - reserved(i, u)) <= slots(u).
// The left side is the charge of u. It remains to show that `committed` is such a bound wherever it
// is lowered.
//
//  1. Confirmed revocation. Each change of a target has a new epoch, and a holder never applies an
//     earlier epoch after a later one. A report that names an epoch since the last lowering was
//     sent after the holder applied a number at or below the target. The holder starts requests
//     only below that number, so max(target, in flight as reported) bounds it from then on. This
//     holds for reports that are repeated, delayed or out of order. Lost reports only keep the old
//     bound.
//  2. Silence. A lease ends `lease` (slot_lease::duration) after the holder *sent* the report whose
//     reply extended it, so at most `lease` after the leader's last reply. Work started before that
//     ends within the service's request deadline. After lease + clockError + deadline (+
//     leaderOverlap, see 4) the holder has nothing in flight beyond its reserved slots. A proof
//     that no quorum exists extends a lease that has not ended. Such a proof is only possible while
//     this leader has no quorum, so the waiting time starts again at `quorumSince`, the start of
//     the leader's uninterrupted confirmation by a quorum.
//  3. Restart. A process starts after its predecessor of the same name ended, and knows nothing of
//     the predecessor's grants. The predecessor's work ends within the deadline. Until clockError +
//     deadline (+ leaderOverlap) after its first report, a new incarnation is granted nothing and
//     its predecessor stays charged. A first report without any sign of an earlier grant is treated
//     the same way, because this leader may not have known the predecessor. Reports of earlier
//     incarnations are rejected.
//  4. Change of leader. The caller passes reports on only while a quorum has confirmed it recently,
//     so a replaced leader answers for at most `leaderOverlap` longer. A new leader answers the
//     first report of each instance with its term only. From then on the instance rejects the
//     earlier leader's grants. The next report states what the instance holds at that time, and
//     that claim is adopted. Claims adopted from different instances are consistent: slots that one
//     instance gave up and that the earlier leader then granted to another were given up either
//     before the first instance made its claim, or by silence, which takes longer than the overlap.
//     Until every member has been adopted, or the silence timeout has passed since the new leader's
//     first confirmation, no target is raised. This includes reserved slots, because the reserved
//     share may have grown since the earlier leader leased those slots.
//  5. Reserved slots of u are a fixed set that is never leased. Which position owns which reserved
//     slot depends only on the settings and the reserved share, and the set grows with the share.
//     The reserved slots of an instance that no leader has heard of for an hour are therefore still
//     set aside. When the reserved share of a service is lowered, `maxAppliedReservedShare` keeps
//     the larger one in force until every member has applied the smaller one.
//
// Assumptions about the caller and the deployment: a position is assigned to another instance only
// after the removal of its previous owner was committed and that owner has been silent for the
// silence timeout; `members` is complete on every leader if `membersAreComplete` is set; steady
// clocks drift by at most `clockError` within a lease; upstreams stop work at the request's
// deadline.
//
// Distribution: each report changes only the reporting instance's allocations. The instance's fair
// share of a service is its own demand plus headroom, limited by max-min fairness when the demands
// exceed the slots. An instance above its fair share loses slots, those of the most distant
// upstreams first. An instance below it is granted free slots, nearest upstreams first, and at most
// doubles its slots per report (or gains `minGrantStep`, if that is more).

// The slots of one upstream for one service.
struct slot_pool
{
    std::string service;
    std::string upstream;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 0;
};

// Settings of one service.
struct slot_rules
{
    double reservedShare = 0.25;
    double maxAppliedReservedShare
        = 0; // largest reserved share that a member may still apply; see 5
    double regionLimit = 0.9;
    std::chrono::milliseconds requestDeadline{5000};
    std::chrono::milliseconds warmup{30'000};
};

// A registered entry instance. Its position, unique in its region, determines which reserved slots
// it owns. An instance without a position only gets leased slots.
struct slot_member
{
    std::string instance;
    std::string region;
    std::string failureDomain;
    std::optional<std::uint32_t> position;
};

struct slot_allocator_settings
{
    std::uint64_t term = 1;
    // Number of positions in each region. The reserved slots of a region are divided among them.
    std::map<std::string, std::uint32_t> positions;
    bool membersAreComplete = false;
    std::chrono::milliseconds clockError{1000};
    std::chrono::milliseconds leaderOverlap{2000}; // longest election timeout
};

// What the holder has at one upstream when it sends the report.
struct pool_report
{
    std::string service;
    std::string upstream;
    std::uint32_t held = 0; // slot_lease::allowed()
    std::uint32_t inFlight = 0;
    allocation_epoch epoch = 0;
};

struct demand_report
{
    std::string service;
    std::uint32_t peakInFlight = 0; // since the last report
    std::uint32_t waiting = 0; // requests queued for a slot
    std::uint32_t refused = 0; // requests refused since the last report
};

struct slot_report
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::vector<pool_report> pools; // one for each upstream that the instance knows
    std::vector<demand_report> demands;
};

struct pool_grant
{
    std::string service;
    std::string upstream;
    slot_grant grant;
};

struct slot_reply
{
    bool isAccepted = false; // false: not a member, or an earlier incarnation
    std::uint64_t term = 0; // for slot_lease::observeTerm(), also without grants
    std::vector<pool_grant> grants;
};

// Not thread-safe. report() takes time linear in the pools it names, the service's pools and the
// members. advance() and the setters take time linear in members times pools.
class slot_allocator
{
public:
    // `now` is the time at which a quorum first confirmed this leader. Throws steering_error for a
    // repeated pool, and for a term that is 0 or above maxEpochTerm.
    slot_allocator(slot_allocator_settings settings, std::vector<slot_pool> pools,
                   const std::map<std::string, slot_rules> &rules, steady_time now);

    void setMembers(const std::vector<slot_member> &members, steady_time now);
    void setRules(const std::string &service, const slot_rules &rules);
    void setDrained(const std::string &service, const std::string &upstream, bool isDrained);
    // The upstream was restarted. Its capacity ramps up from 1 slot during the warm-up time.
    void upstreamStarted(const std::string &service, const std::string &upstream, steady_time now);
    // Limits an upstream's capacity below its slots. May be called at any time; a lower limit takes
    // effect as the holders confirm their lower allocations.
    void setCapacity(const std::string &service, const std::string &upstream,
                     std::uint32_t capacity);
    // Call when the confirmation by a quorum was interrupted for longer than the shortest election
    // timeout and has been uninterrupted again since `since`.
    void setQuorumSince(steady_time since);

    // Reclaims slots of silent and replaced holders, and raises the capacity of upstreams that warm
    // up. Call it about once a second, but only while a quorum has answered within the shortest
    // election timeout: voters that have not heard from the leader for longer may prove to a holder
    // that there is no leader.
    void advance(steady_time now);
    // Handles a report that arrived before the latest confirmation by a quorum. Describes the
    // decision in `record` unless it is null.
    slot_reply report(const slot_report &report, steady_time now,
                      decision_record *record = nullptr);

    struct pool_status
    {
        std::uint32_t slots = 0;
        std::uint32_t capacity = 0; // current: limited by drains, warm-up and setCapacity()
        std::uint32_t reserved = 0;
        std::uint32_t charged = 0; // left side of the safety condition
    };
    pool_status status(const std::string &service, const std::string &upstream) const;
    // Slots granted to one instance; 0 if the instance is unknown.
    std::uint32_t granted(const std::string &instance, const std::string &service,
                          const std::string &upstream) const;
    bool isHandoverComplete(const std::string &service) const;
    std::chrono::milliseconds silenceTimeout(const std::string &service) const;

private:
    using index = std::uint32_t;

    struct pool_state
    {
        slot_pool spec;
        index service = 0;
        index region = 0; // into service_state::regions
        bool isDrained = false;
        std::uint32_t capacityLimit = 0;
        std::uint32_t capacity = 0;
        std::optional<steady_time> startedAt;
        std::vector<index> reservedOwners; // owning position of each reserved slot
        // Number of reserved slots that are usable at present; these are the first ones.
        std::uint32_t activeReserved = 0;
        // Sums over the holders: charges and targets in excess of the holder's reserved slots, and
        // in excess of its active ones.
        std::uint32_t chargedOverReserved = 0;
        std::uint32_t chargedOverActive = 0;
        std::uint32_t targetOverReserved = 0;
        std::uint32_t targetOverActive = 0;

        std::uint32_t reserved() const { return static_cast<std::uint32_t>(reservedOwners.size()); }
        std::uint32_t charged() const { return reserved() + chargedOverReserved; }
        // When an instance of the same region last lacked a free slot here.
        std::optional<steady_time> unmetDemandAt;
    };
    struct region_state
    {
        std::string name;
        std::uint32_t limit = 0;
        // Reserved slots, plus charges or targets in excess of them. Reserved slots of a drained
        // upstream stay counted: an instance that cannot reach the control instances does not learn
        // of the drain.
        std::uint32_t charged = 0;
        std::uint32_t granted = 0;
        std::vector<index> pools;
    };
    struct service_state
    {
        std::string name;
        slot_rules rules;
        std::vector<index> pools;
        std::vector<region_state> regions;
        bool isHandoverDone = false;
    };
    // The allocation of one holder at one upstream. `committed` is the bound of the safety
    // argument.
    struct pool_allocation
    {
        std::uint32_t target = 0;
        std::uint32_t committed = 0;
        std::uint32_t predecessorCommitted = 0; // committed to earlier incarnations
        std::uint32_t reserved = 0; // slots reserved for this holder
        std::uint32_t activeReserved = 0; // reserved slots that are usable at present
        allocation_epoch epoch = 0; // of the latest change
        allocation_epoch loweredEpoch = 0; // of the latest lowering of the target
        allocation_epoch appliedEpoch = 0; // latest epoch that the holder reported
    };
    struct service_demand
    {
        double estimate = 0; // in slots
        std::uint32_t total = 0; // sum of targets
    };
    struct fair_share
    {
        std::uint32_t slots = 0;
        bool isContended = false; // the demands with headroom exceed the available slots
    };
    struct holder_state
    {
        slot_member member;
        bool isMember = true;
        std::uint64_t incarnation = 0;
        bool hasReported = false;
        bool isAdopted = false; // the claims of this incarnation are known
        // A predecessor of this incarnation may still have requests in flight; see 3.
        bool mustWaitForPredecessor = false;
        steady_time firstReportAt = steady_time::min(); // of this incarnation
        steady_time lastReplyAt = steady_time::min();
        std::vector<pool_allocation> allocations; // by pool
        std::vector<service_demand> demands; // by service
    };

    index poolIndexOf(const std::string &service, const std::string &upstream) const;
    index serviceIndexOf(const std::string &service) const;
    allocation_epoch nextEpoch() { return epochOfTerm(m_settings.term) + ++m_epochCounter; }
    // Time after which the requests of an earlier process or leader have ended; see 3.
    std::chrono::milliseconds predecessorTimeout(const service_state &service) const;
    // Time without a report after which a holder has nothing but reserved slots; see 2.
    std::chrono::milliseconds silenceTimeout(const service_state &service) const;
    bool mayReceiveGrants(const holder_state &holder, const service_state &service) const;
    bool updateHandover(service_state &service) const;

    void assignReservedSlots(index poolIndex);
    std::uint32_t rampedCapacity(const pool_state &pool) const;
    void refreshService(index serviceIndex);
    void updateSums(const pool_allocation &allocation, index poolIndex, bool isAdded);
    void replaceAllocation(holder_state &holder, index poolIndex, const pool_allocation &changed);
    void setTarget(holder_state &holder, index poolIndex, std::uint32_t target);

    void beginIncarnation(holder_state &holder, const slot_report &report);
    bool applyPoolReports(holder_state &holder, const slot_report &report);
    void adoptClaim(holder_state &holder, index poolIndex, const pool_report &claim);
    void applyDemand(holder_state &holder, const slot_report &report);
    bool canGrantSlot(const holder_state &holder, index poolIndex, bool isLeased) const;
    void enforceLimits(holder_state &holder, service_state &service);
    std::string_view rebalance(holder_state &holder, index serviceIndex, decision_record *record);
    fair_share fairShare(const holder_state &holder, index serviceIndex) const;
    static std::uint32_t distanceTier(const holder_state &holder, const pool_state &pool);
    void revokeSlots(holder_state &holder, const service_state &service, std::uint32_t count);
    std::uint32_t grantSlots(holder_state &holder, const service_state &service,
                             std::uint32_t count, std::uint32_t tierCount);
    void improveLocality(holder_state &holder, const service_state &service);

    slot_allocator_settings m_settings;
    std::vector<pool_state> m_pools;
    std::vector<service_state> m_services;
    std::unordered_map<std::string, index> m_poolIndex;
    std::unordered_map<std::string, index> m_serviceIndex;
    std::map<std::string, holder_state> m_holders;
    steady_time m_now; // latest time passed by the caller
    steady_time m_quorumSince;
    std::uint64_t m_epochCounter = 0;
};

} // namespace buckthorngrade
