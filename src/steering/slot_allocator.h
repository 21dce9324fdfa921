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

// The leader's table of slots: which entry instance may have how many requests in flight at which
// upstream.
//
// Safety: at every upstream, the requests of all instances together never exceed its slots.
//
// For each instance i and upstream u the table keeps `target`, the number last granted, and
// `committed`, an upper bound on what i can have in flight at u now or through any message that is
// still under way. A grant raises `committed` first. With W(u) the reserved seats of u, whoever
// owns them, the table only grants while
//     W(u) + sum over i of max(0, committed(i, u) - seats(i, u)) <= slots(u).
// It remains to show that `committed` is such a bound wherever it is lowered.
//
//  1. Confirmed revocation. Each change of a target has a new epoch, and a holder never applies an
//     earlier epoch after a later one. A report that names an epoch since the last lowering was
//     sent after the holder applied a number at or below the target; it starts requests only below
//     that number, so max(target, in flight as reported) bounds it from then on. This holds for
//     reports that are repeated, delayed or out of order, and lost ones only keep the old bound.
//  2. Silence. A lease ends `lease` after the holder *sent* the report whose reply extended it, so
//     at most `lease` after the leader's last reply. Work started before that ends within the
//     service's request deadline. After lease + clockError + deadline (+ leaderOverlap, see 4) the
//     holder has nothing in flight beyond its reserved seats. A proof that no quorum exists
//     extends a live lease; it can only be made while this leader has no quorum, so the waiting
//     time starts again at `quorumSince`, the start of the leader's unbroken confirmation.
//  3. Restart. A process starts after its predecessor of the same name ended, and knows nothing.
//  Its
//     predecessor's work ends within the deadline. Until clockError + deadline (+ leaderOverlap)
//     after its first report a new incarnation gets nothing, and its predecessor stays charged.
//     A first report that shows no sign of an earlier grant is treated the same way, because this
//     leader may not have known the predecessor. Reports of earlier incarnations are rejected.
//  4. Change of leader. The caller passes reports on only while a quorum has confirmed it recently,
//     so a replaced leader answers for at most `leaderOverlap` longer. A new leader answers the
//     first report of each instance with its term only; from then on the instance rejects the
//     earlier leader's grants. The report after that states what the instance holds at that time,
//     and is adopted. Claims adopted from different instances fit together: what one instance gave
//     up, and the earlier leader then granted to another, was given up before the first one's claim
//     was made, or by silence, which takes longer than the overlap. Until every member has been
//     adopted, or the silence limit has passed since the new leader's first confirmation, nothing
//     is raised: not even reserved seats, because the share may have grown since the earlier leader
//     leased those slots.
//  5. Reserved seats of u are a fixed set that is never leased. Which position owns which seat
//     depends only on the settings and the share, and grows with the share, so the seats of an
//     instance that no leader has heard of for an hour are still set aside. When the share of a
//     service is lowered, `heldReservedShare` keeps the larger one in force until every member has
//     applied the smaller one.
//
// Assumed of the caller: a position is given to another instance only after the removal of the
// first one was committed and it has been silent for the silence limit; `members` is complete on
// every leader if `membersAreComplete` is set; steady clocks drift by at most `clockError` within
// a lease; upstreams stop work at the request's deadline.
//
// Distribution: each report changes only the reporting instance's row. Its fair share of a service
// is its own demand with headroom, cut by max-min fairness when the demands exceed the slots.
// A row above its share gives slots up, farthest first, a row below it takes free ones, nearest
// first, at most doubling per report.

struct slot_pool
{
    std::string service;
    std::string upstream;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 0;
};

struct slot_rules
{
    double reservedShare = 0.25;
    double heldReservedShare = 0; // largest share that a member may still apply; see 5 above
    double regionLimit = 0.9;
    std::chrono::milliseconds requestDeadline{5000};
    std::chrono::milliseconds warmup{30'000};
};

// A registered entry instance. The position, unique in its region, decides which reserved seats it
// owns; an instance without one gets leased slots only.
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
    // Positions in each region. Reserved seats of a region are divided among that many instances.
    std::map<std::string, std::uint32_t> positions;
    bool membersAreComplete = false;
    std::chrono::milliseconds clockError{1000};
    std::chrono::milliseconds leaderOverlap{2000}; // longest election timeout
};

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
    std::uint32_t waiting = 0;
    std::uint32_t refused = 0;
};

struct slot_report
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::vector<pool_report> pools; // all upstreams that the instance knows
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
    std::uint64_t term = 0; // for slot_lease::observeTerm(), even without grants
    std::vector<pool_grant> grants;
};

// Not thread-safe. Work: report() is linear in the pools it names, the service's pools and the
// members; advance() and the setters are linear in members times pools.
class slot_allocator
{
public:
    // `now` is when this leader was first confirmed by a quorum. Throws steering_error for a
    // repeated pool or a term above maxEpochTerm.
    slot_allocator(slot_allocator_settings settings, std::vector<slot_pool> pools,
                   const std::map<std::string, slot_rules> &rules, steady_time now);

    void setMembers(const std::vector<slot_member> &members, steady_time now);
    void setRules(const std::string &service, const slot_rules &rules);
    void setDrained(const std::string &service, const std::string &upstream, bool isDrained);
    // The upstream was started anew and is ramped up from 1 slot.
    void upstreamStarted(const std::string &service, const std::string &upstream, steady_time now);
    // Further bound on an upstream's slots that may change at any time. Lowering it takes effect
    // as the holders confirm.
    void setCapacity(const std::string &service, const std::string &upstream,
                     std::uint32_t capacity);
    // Confirmation by a quorum was interrupted for longer than the shortest election timeout, and
    // is unbroken again since `since`.
    void setQuorumSince(steady_time since);

    // Reclaims slots of silent and replaced holders and ramps up warming upstreams. Call it about
    // once a second, but only while a quorum has answered within the shortest election timeout:
    // voters that have not heard the leader for longer may prove to a holder that there is none.
    void advance(steady_time now);
    // Handles a report that arrived before the latest confirmation by a quorum. If `record` is
    // given it is filled.
    slot_reply report(const slot_report &report, steady_time now,
                      decision_record *record = nullptr);

    struct pool_status
    {
        std::uint32_t slots = 0;
        std::uint32_t capacity = 0; // now, after drains, warm-up and setCapacity()
        std::uint32_t reservedSeats = 0;
        std::uint32_t charged = 0; // left side of the safety condition
    };
    pool_status status(const std::string &service, const std::string &upstream) const;
    // Granted to one instance; 0 if unknown.
    std::uint32_t granted(const std::string &instance, const std::string &service,
                          const std::string &upstream) const;
    bool isHandoverComplete(const std::string &service) const;
    std::chrono::milliseconds silenceLimit(const std::string &service) const;

private:
    using index = std::uint32_t;

    struct pool_state
    {
        slot_pool spec;
        index service = 0;
        index region = 0; // into service_state::regions
        bool isDrained = false;
        std::uint32_t capacityBound = 0;
        std::uint32_t capacity = 0;
        std::optional<steady_time> startedAt;
        std::vector<index> seatPositions; // owner of each seat, by the held share
        std::uint32_t activeSeats = 0; // first seats in use now
        // Sums over the rows: charges and targets beyond all seats, and beyond the active ones.
        std::uint32_t chargedBeyondSeats = 0;
        std::uint32_t chargedBeyondActive = 0;
        std::uint32_t targetBeyondSeats = 0;
        std::uint32_t targetBeyondActive = 0;

        std::uint32_t seats() const { return static_cast<std::uint32_t>(seatPositions.size()); }
        std::uint32_t charged() const { return seats() + chargedBeyondSeats; }
        std::optional<steady_time> wantedNear; // an instance near it asked for it in vain
    };
    struct region_state
    {
        std::string name;
        std::uint32_t limit = 0;
        // Seats and charges or targets beyond them. Seats of a drained upstream stay counted: an
        // instance without control does not hear of the drain.
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
        bool isHandedOver = false;
    };
    struct entry
    {
        std::uint32_t target = 0;
        std::uint32_t committed = 0;
        std::uint32_t retired = 0; // committed to the previous incarnation
        std::uint32_t seats = 0; // withheld for this row
        std::uint32_t active = 0; // seats in use now
        allocation_epoch epoch = 0;
        allocation_epoch loweredEpoch = 0;
        allocation_epoch appliedEpoch = 0; // latest that the holder reported
    };
    struct service_demand
    {
        double estimate = 0;
        std::uint32_t total = 0; // sum of targets
    };
    struct fair_share
    {
        std::uint32_t slots = 0;
        bool isContended = false; // not everybody gets what they want, headroom included
    };
    struct row
    {
        slot_member member;
        bool isMember = true;
        std::uint64_t incarnation = 0;
        bool isContacted = false;
        bool isAdopted = false;
        bool isFresh = false; // showed no earlier grant at first contact
        steady_time firstSeen = steady_time::min();
        steady_time lastReply = steady_time::min();
        std::vector<entry> entries; // by pool
        std::vector<service_demand> demands; // by service
    };

    index poolAt(const std::string &service, const std::string &upstream) const;
    index serviceAt(const std::string &service) const;
    allocation_epoch nextEpoch() { return epochOfTerm(m_settings.term) + ++m_counter; }
    std::chrono::milliseconds settleTime(const service_state &service) const;
    std::chrono::milliseconds silenceTime(const service_state &service) const;
    bool isStarted(const row &item, const service_state &service) const;
    bool checkHandover(service_state &service) const;

    void layOutSeats(index poolIndex);
    std::uint32_t rampedCapacity(const pool_state &pool) const;
    void refreshService(index serviceIndex);
    void addCharges(const entry &item, index poolIndex, bool isAdded);
    void change(row &item, index poolIndex, const entry &changed);
    void setTarget(row &item, index poolIndex, std::uint32_t target);

    void beginIncarnation(row &item, const slot_report &report);
    bool ingest(row &item, const slot_report &report);
    void adopt(row &item, index poolIndex, const pool_report &claim);
    void applyDemand(row &item, const slot_report &report);
    bool canRaise(const row &item, index poolIndex, bool leased) const;
    void enforceLimits(row &item, service_state &service);
    std::string_view balance(row &item, index serviceIndex, decision_record *record);
    fair_share fairShare(const row &item, index serviceIndex) const;
    static std::uint32_t tierOf(const row &item, const pool_state &pool);
    void lower(row &item, const service_state &service, std::uint32_t count);
    std::uint32_t raise(row &item, const service_state &service, std::uint32_t count,
                        std::uint32_t tierCount);
    void improveLocality(row &item, const service_state &service);

    slot_allocator_settings m_settings;
    std::vector<pool_state> m_pools;
    std::vector<service_state> m_services;
    std::unordered_map<std::string, index> m_poolIndex;
    std::unordered_map<std::string, index> m_serviceIndex;
    std::map<std::string, row> m_rows;
    steady_time m_now; // latest time given
    steady_time m_quorumSince;
    std::uint64_t m_counter = 0;
};

} // namespace buckthorngrade
