#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "control/platform_list.h"
#include "link.pb.h"
#include "model/instance_status.h"
#include "steering/failure_detector.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// The leader's view of the entry instances, made from their reports, the observations of their
// peers, the platform's list and the committed registrations and removals. It is reset at the start
// of each term, because the information of an earlier term may be out of date. Thread-safe.
//
// An open feed stream does not show that an instance is reachable, because the connection of a
// paused process stays open. Only peers, which exchange requests with the instance, count as
// observers.
class instance_registry
{
public:
    // `events` must outlive this object.
    explicit instance_registry(event_log &events);

    // Discards everything if `term` differs from the current one. The instances in `registered` are
    // expected to report.
    void beginTerm(std::uint64_t term, const std::vector<wire::instance_record> &registered,
                   steady_time now);
    // Applies the committed registrations and removals.
    void setRegistered(const std::vector<wire::instance_record> &registered, steady_time now);
    // Without a list, no instance counts as missing from it.
    void setPlatformList(std::optional<platform_list> list);

    // Applies a report. Returns false, without effect, if the process was removed, if a later
    // incarnation of the instance is known, or if the maximum number of instances is reached.
    bool record(const wire::report_request &report, steady_time now);
    // Returns all known instances with their state at `now`, sorted by name.
    std::vector<instance_status> list(steady_time now);

    struct in_force
    {
        std::uint64_t revision = 0; // the greatest revision that is in force on all instances
        std::vector<std::string> behind; // instances that have not applied the revision asked for
    };
    // Returns which revision up to `accepted` is in force. A revision is in force when each
    // instance that is neither dead nor removed has confirmed it or has been absent from lookup
    // results for longer than these are cached.
    in_force inForce(std::uint64_t accepted, steady_time now);

    // Returns processes that reported and are not registered, at most `limit`.
    std::vector<wire::register_instance> unregistered(std::size_t limit) const;
    // Returns instances to remove by section 5.10 of the design, at most `limit`.
    std::vector<wire::remove_instance> removable(std::size_t limit, steady_time now);

private:
    struct observation
    {
        bool isReachable = false;
        steady_time at;
    };
    struct known_instance
    {
        explicit known_instance(std::uint64_t incarnation, steady_time now)
            : rule(incarnation, now)
        { }

        failure_detector rule;
        instance_status status;
        bool isLeaving = false;
        bool isReady = false;
        bool hasReported = false;
        std::uint64_t registeredIncarnation = 0;
        std::string registeredRegion;
        bool isRemoved = false;
        std::uint64_t removedIncarnation = 0;
        std::map<std::string, observation> observations; // keyed by observer
        instance_state state = instance_state::not_ready;
        std::string_view stateRule;
        std::optional<steady_time> excludedSince; // set while absent from lookup results
    };

    void applyRegistered(const std::vector<wire::instance_record> &registered, steady_time now);
    void recordObservations(const wire::report_request &report, steady_time now);
    observed_reachability observerOpinion(const known_instance &known, steady_time now) const;
    void updateState(known_instance &known, steady_time now);

    event_log &m_events;
    mutable std::mutex m_mutex;
    std::uint64_t m_term = 0;
    std::optional<platform_list> m_platformList;
    std::map<std::string, known_instance> m_instances;
};

std::string_view toString(instance_state state);
wire::instance_health toWire(instance_state state);

} // namespace buckthorngrade
