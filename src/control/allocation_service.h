#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/confirmation.h"
#include "control/control_state.h"
#include "link.pb.h"
#include "model/settings.h"
#include "steering/shift_governor.h"
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

// The leader's allocation of slots and of the limits on foreign load (for callers of other
// regions). Thread-safe.
//
// It serves only while a quorum has confirmed the leader within `longestUnconfirmed`, so that a
// leader that was replaced stops within the time that slot_allocator assumes. Each term starts with
// an empty table; slot_allocator holds back until it knows what the earlier leader granted.
//
// The limit on foreign load of a service in a region is a pool of its own, whose capacity is what
// shift_governor allows. Until the table of a new term is complete, that capacity stays at what the
// instances say they hold, plus one step. A limit below the number of instances is shared among as
// many of them as get one slot each; a fair share below one slot would be no slot for anyone.
class allocation_service
{
public:
    static constexpr std::chrono::milliseconds longestUnconfirmed{1'500};

    // All references must outlive this. `positions` of a region come from the settings.
    allocation_service(const settings &config, const control_state &state,
                       const confirmation &confirmed, const clock_source &clock, event_log &events,
                       metric_registry &metrics);

    // True while a quorum has confirmed lately that this instance leads `term`.
    bool isConfirmed(std::uint64_t term) const;

    // Adds allocations and foreign limits for the reporting instance to `reply`. `term` is the term
    // in which this instance leads. The work is linear in the report, the services' upstreams and
    // the members.
    void report(std::uint64_t term, const wire::report_request &report, wire::report_reply &reply);
    // Follows the configuration and time; call it each second while this instance leads.
    void advance(std::uint64_t term);
    // Drops the table; call it when this instance does not lead.
    void stop();

    // The limit for load of other regions; empty while there is none.
    std::optional<std::uint32_t> foreignLimit(const std::string &service,
                                              const std::string &region) const;
    struct service_status
    {
        std::uint32_t slots = 0;
        std::uint32_t capacity = 0;
        std::uint32_t charged = 0;
        bool isHandoverComplete = false;
    };
    // Sums over a service's upstreams; zeros while this instance does not lead.
    service_status status(const std::string &service) const;

private:
    struct region_load
    {
        std::uint64_t answers = 0;
        std::uint64_t sheds = 0;
        double latencySum = 0; // microseconds, weighted by answers
    };
    struct foreign_claim
    {
        std::uint32_t held = 0;
        std::uint32_t peak = 0;
        bool isAsking = false; // for more than it holds
        steady_time at;
    };
    // Of one service in one region.
    struct shift_state
    {
        shift_governor governor;
        bool isStarted = false;
        std::uint32_t regionSlots = 0;
        std::uint32_t limit = 0;
        std::unique_ptr<slot_allocator> shares;
        std::vector<std::string> sharing; // members that have a share, ordered
        region_load load; // since the last sample
        std::map<std::string, foreign_claim> claims; // by instance
    };
    // A service's reserved share that was lowered, until every member has applied the lower one.
    struct share_change
    {
        double held = 0;
        std::uint64_t number = 0; // of the change; 0: none is pending
        std::set<std::string> applied;
    };
    // What the last reply to a member granted, to see when its next report has applied it.
    struct last_reply
    {
        std::uint64_t changes = 0; // value of m_changes then
        std::uint64_t incarnation = 0;
        std::map<std::pair<std::string, std::string>, allocation_epoch> grants;
    };
    struct leadership
    {
        std::uint64_t term = 0;
        steady_time quorumSince;
        std::uint64_t revision = 0; // of the rules and drains in use
        std::optional<std::uint64_t> membersVersion;
        std::unique_ptr<slot_allocator> slots;
        std::map<std::string, slot_rules> rules; // by service
        std::map<std::string, profile> profiles; // by service
        std::map<std::pair<std::string, std::string>, bool> drained; // by service, upstream
        std::map<std::pair<std::string, std::string>, shift_state> shifts; // by service, region
        std::vector<slot_member> members;
        std::map<std::string, share_change> shares; // by service
        std::map<std::string, last_reply> replies; // by instance
    };

    bool enter(std::uint64_t term);
    void startTerm(const confirmation::value &confirmed);
    void startShift(const service_spec &service, const std::string &region, steady_time now);
    void shareAmong(const std::string &region, shift_state &shift, steady_time now);
    slot_rules rulesOf(const service_spec &service, const profile &current, double held) const;
    profile currentProfile(const service_spec &service) const;
    double largestShare(const service_spec &service) const;
    void followConfig();
    void followMembers(steady_time now);
    void followDrains();
    void noteApplied(const wire::report_request &report);
    void finishShareChanges();
    void addLoad(const wire::report_request &report, steady_time now);
    void allocate(const wire::report_request &report, wire::report_reply &reply, steady_time now);
    void allocateForeign(const wire::report_request &report, wire::report_reply &reply,
                         steady_time now);
    void sampleShifts(steady_time now);
    const upstream_spec *findUpstream(const std::string &service,
                                      const std::string &upstream) const;

    const settings &m_settings;
    const control_state &m_state;
    const confirmation &m_confirmed;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_reports;
    metric_summary &m_reportTime;
    std::map<std::pair<std::string, std::string>, const upstream_spec *> m_upstreams;
    mutable std::mutex m_mutex;
    std::uint64_t m_changes = 0; // numbers the changes of shares
    std::unique_ptr<leadership> m_leader; // null while this instance does not lead
};

// Service name of the pool that holds the limit on a service's foreign load.
std::string foreignPoolName(const std::string &service);

} // namespace buckthorngrade
