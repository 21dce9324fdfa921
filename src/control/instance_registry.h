#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "control/platform_list.h"
#include "link.pb.h"
#include "model/instance_status.h"
#include "steering/suspicion_rule.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// What the leader knows about the entry instances: their reports, peers' observations, the
// platform's list and the committed registrations and removals. It starts anew with each term,
// because what an earlier leader knew may be out of date. Thread-safe.
//
// An open feed stream is not taken as proof that an instance is reachable: the connection of a
// stopped process stays open. Only peers, which exchange requests with it, count as observers.
class instance_registry
{
public:
    // `events` must outlive this.
    explicit instance_registry(event_log &events);

    // Forgets everything when `term` is a new one. The instances registered are expected to report.
    void beginTerm(std::uint64_t term, const std::vector<wire::instance_record> &registered,
                   steady_time now);
    // The committed registrations and removals.
    void setRegistered(const std::vector<wire::instance_record> &registered, steady_time now);
    // Empty: no information, so that no instance counts as missing from it.
    void setPlatformList(std::optional<platform_list> list);

    // Returns false, without effect, for a process that was removed or has a successor, and beyond
    // the bound on instances.
    bool record(const wire::report_request &report, steady_time now);
    // All instances known, by name, with their state at `now`.
    std::vector<instance_status> list(steady_time now);

    struct in_force
    {
        std::uint64_t revision = 0; // the greatest that is in force everywhere
        std::vector<std::string> behind; // instances that are below the revision given
    };
    // A revision is in force when each instance that is neither dead nor removed has confirmed it
    // or has been left out of lookups for longer than they are cached.
    in_force inForce(std::uint64_t accepted, steady_time now);

    // Processes that reported and are not registered, at most `limit`.
    std::vector<wire::register_instance> unregistered(std::size_t limit) const;
    // Instances to remove by section 5.10 of the design, at most `limit`.
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

        suspicion_rule rule;
        instance_status status;
        bool isLeaving = false;
        bool isReady = false;
        bool hasReported = false;
        std::uint64_t registeredIncarnation = 0;
        std::string registeredRegion;
        bool isRemoved = false;
        std::uint64_t removedIncarnation = 0;
        std::map<std::string, observation> observations; // by observer
        instance_state state = instance_state::not_ready;
        std::string_view stateRule;
        std::optional<steady_time> leftOutSince; // not in lookups since then
    };

    void applyRegistered(const std::vector<wire::instance_record> &registered, steady_time now);
    void observe(const wire::report_request &report, steady_time now);
    observer_opinion opinionOn(const known_instance &known, steady_time now) const;
    void decide(known_instance &known, steady_time now);

    event_log &m_events;
    mutable std::mutex m_mutex;
    std::uint64_t m_term = 0;
    std::optional<platform_list> m_platformList;
    std::map<std::string, known_instance> m_instances;
};

std::string_view toString(instance_state state);
wire::instance_health toWire(instance_state state);

} // namespace buckthorngrade
