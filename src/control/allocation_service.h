#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/control_state.h"
#include "control/leader_confirmation.h"
#include "link.pb.h"
#include "model/settings.h"
#include "steering/shift_limiter.h"
#include "steering/slot_allocator.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorngrade {

// Grants upstream slots and limits on foreign load (requests of callers from other regions) to the
// entry instances while this control instance is the leader. Thread-safe.
//
// Grants are made only while a quorum has confirmed the leader within `maxConfirmationAge`, so that
// a replaced leader stops granting within the time that slot_allocator assumes. Each term starts
// with an empty table; slot_allocator raises no grant until it knows what the previous leader
// granted.
//
// The limit on the foreign load of a service in a region is a separate pool whose capacity is the
// limit that shift_limiter computes. Until the table of a new term is complete, the capacity is
// the sum of what the instances report to hold plus one step. A limit below the number of instances
// is divided among as many instances as can get one slot each, because an equal share below one
// slot would round down to zero for every instance.
class allocation_service
{
public:
    static constexpr std::chrono::milliseconds maxConfirmationAge{1'500};

    // All references must outlive this object. The number of positions in a region is taken from
    // the settings.
    allocation_service(const settings &config, const control_state &state,
                       const leader_confirmation &confirmed, const clock_source &clock,
                       event_log &events, metric_registry &metrics);

    // Returns true if a quorum has confirmed within `maxConfirmationAge` that this instance leads
    // `term`.
    bool isConfirmed(std::uint64_t term) const;

    // Processes a report and adds the allocations and foreign limits of the reporting instance to
    // `reply`. `term` is the term in which this instance leads. The time is linear in the size of
    // the report, the number of upstreams of the services and the number of members.
    void report(std::uint64_t term, const wire::report_request &report, wire::report_reply &reply);
    // Applies configuration changes and the passage of time. To be called once per second while
    // this instance leads.
    void advance(std::uint64_t term);
    // Discards the table. To be called when this instance does not lead.
    void stop();

    // Returns the limit on foreign load, or nothing if this instance does not lead, the table of
    // the term is not complete, or the service has no upstreams in `region`.
    std::optional<std::uint32_t> foreignLimit(const std::string &service,
                                              const std::string &region) const;
    struct service_status
    {
        std::uint32_t slots = 0;
        std::uint32_t capacity = 0;
        std::uint32_t charged = 0;
        bool isHandoverComplete = false;
    };
    // Returns the sums over the upstreams of a service; all zero if this instance does not lead.
    service_status status(const std::string &service) const;

private:
    struct load_sample
    {
        std::uint64_t answers = 0;
        std::uint64_t sheds = 0;
        double latencySum = 0; // microseconds, weighted by the number of answers
    };
    struct foreign_usage
    {
        std::uint32_t held = 0;
        std::uint32_t peak = 0;
        bool wantsMore = false; // requests waited or were refused for lack of held slots
        steady_time at;
    };
    // Foreign load of one service in one region.
    struct shift_state
    {
        shift_limiter governor;
        bool isGovernorStarted = false;
        std::uint32_t regionSlots = 0;
        std::uint32_t limit = 0;
        std::unique_ptr<slot_allocator> limitAllocator;
        std::vector<std::string> sharingInstances; // members that have a share of the limit, sorted
        load_sample load; // since the last sample
        std::map<std::string, foreign_usage> usages; // keyed by instance
    };
    // A reduction of a service's reserved share that not every member has applied yet.
    struct share_change
    {
        double largestShareInUse = 0;
        std::uint64_t changeNumber = 0; // number of the change; 0 if none is pending
        std::set<std::string> applied;
    };
    // Grants of the last reply to a member. The member's next report shows whether it has applied
    // them.
    struct last_reply
    {
        std::uint64_t shareChangeCount = 0; // value of m_shareChangeCount when the reply was made
        std::uint64_t incarnation = 0;
        std::map<std::pair<std::string, std::string>, allocation_epoch> grants;
    };
    struct term_state
    {
        std::uint64_t term = 0;
        steady_time quorumSince;
        std::uint64_t revision = 0; // configuration revision of `rules` and `profiles`
        std::optional<std::uint64_t> membersVersion;
        std::unique_ptr<slot_allocator> slots;
        std::map<std::string, slot_rules> rules; // keyed by service
        std::map<std::string, profile> profiles; // keyed by service
        std::map<std::pair<std::string, std::string>, bool> drained; // keyed by service, upstream
        // Keyed by service, region.
        std::map<std::pair<std::string, std::string>, shift_state> shifts;
        std::vector<slot_member> members;
        std::map<std::string, share_change> shareChanges; // keyed by service
        std::map<std::string, last_reply> lastReplies; // keyed by instance
    };

    bool ensureTerm(std::uint64_t term);
    void startTerm(const leader_confirmation::value &confirmed);
    void createLimitAllocator(const service_spec &service, const std::string &region,
                              steady_time now);
    void selectSharingInstances(const std::string &region, shift_state &shift, steady_time now);
    slot_rules makeSlotRules(const service_spec &service, const profile &current,
                             double largestShareInUse) const;
    profile currentProfile(const service_spec &service) const;
    double largestShare(const service_spec &service) const;
    void applyConfigChanges();
    void applyMemberChanges(steady_time now);
    void applyDrainChanges();
    void recordAppliedShares(const wire::report_request &report);
    void completeShareChanges();
    void recordLoad(const wire::report_request &report, steady_time now);
    void allocate(const wire::report_request &report, wire::report_reply &reply, steady_time now);
    void allocateForeign(const wire::report_request &report, wire::report_reply &reply,
                         steady_time now);
    void updateForeignLimits(steady_time now);
    const upstream_spec *findUpstream(const std::string &service,
                                      const std::string &upstream) const;

    const settings &m_settings;
    const control_state &m_state;
    const leader_confirmation &m_confirmed;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_reports;
    metric_summary &m_reportTime;
    std::map<std::pair<std::string, std::string>, const upstream_spec *> m_upstreams;
    mutable std::mutex m_mutex;
    std::uint64_t m_shareChangeCount = 0; // number of reductions of reserved shares so far
    std::unique_ptr<term_state> m_termState; // null while this instance does not lead
};

// Returns the service name under which the pool for a service's foreign load is registered in its
// slot_allocator.
std::string foreignPoolName(const std::string &service);

} // namespace buckthorngrade
