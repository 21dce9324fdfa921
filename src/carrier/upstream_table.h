#pragma once

#include "base/event_log.h"
#include "carrier/route_table.h"
#include "model/upstream_listing.h"
#include "net/http_client.h"
#include "steering/cold_gate.h"
#include "steering/restart_watch.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthorngrade {

// What this entry instance knows of one lifetime of an upstream, and its connections to it.
struct upstream_state
{
    listed_upstream listed;
    std::string region;
    std::uint64_t hash = 0;
    socket_address address;
    steady_time coldUntil = steady_time::min();
    const char *coldReason = ""; // why it counts, or counted, as cold
    std::shared_ptr<cold_gate> coldGate;
    restart_watch restarts;
    bool isReplaced = false; // another upstream has answered at its address
    std::uint32_t inFlight = 0; // requests of this instance

    // Load that the upstream reported with a response.
    double reportedLoad = 0;
    std::uint32_t inFlightAtReport = 0;
    steady_time reportedAt = steady_time::min();

    // Objects that it handled for this instance, and when.
    std::unordered_map<std::uint64_t, steady_time> handled;

    double serviceMs = 0; // mean time of recent responses; 0: none yet
    steady_time serviceMsAt = steady_time::min();
    double failureShare = 0; // of recent attempts
    steady_time failureShareAt = steady_time::min();
    std::uint32_t connectFailures = 0; // in a row
    steady_time ejectedUntil = steady_time::min();

    struct idle_connection
    {
        std::unique_ptr<http_client> client;
        steady_time since;
    };
    std::list<idle_connection> idle; // used last first

    // `coldPeriod`: of its service.
    bool isCold(steady_time now, std::chrono::milliseconds coldPeriod) const
    {
        return now < coldUntil || restarts.isSuspected(now, coldPeriod);
    }
    // Requests that it runs or queues, estimated from its last report and the own ones.
    double estimatedLoad(steady_time now) const;
    double estimatedFailureShare(steady_time now) const;
    // A slow upstream gets little, so its estimate is given up after a while to try it again.
    bool isServiceTimeKnown(steady_time now) const;
    bool isWarmFor(std::uint64_t object, steady_time now) const;
    void recordHandled(std::uint64_t object, steady_time now);
    void recordOutcome(bool failed, steady_time now);
    void recordServiceTime(std::chrono::milliseconds time, steady_time now);
    void recordLoad(double running, double waiting, steady_time now);
    // The upstream can't be reached: leaves it out for a time that grows with each failure.
    void recordUnreachable(steady_time now);
};

using upstream_pointer = std::shared_ptr<upstream_state>;

// The upstreams of all services that requests may go to.
class upstream_table
{
public:
    upstream_table(event_loop &loop, std::map<std::string, std::string> regionOfDomain,
                   event_log &events);

    // Replaces the list. Upstreams that are no longer in it get nothing more; their requests under
    // way go on.
    void apply(const upstream_listing &listing, const route_table *routes);
    // Upstreams of these failure domains get nothing. Those of a domain that is taken back count as
    // cold for their service's period, because they may have been replaced meanwhile; all others,
    // too, if evacuations of theirs may have been missed.
    void setEvacuated(std::set<std::string> domains, bool mayHaveMissed, const route_table *routes);

    // Those of the service that may get requests, ordered by id.
    std::vector<upstream_state *> usable(const std::string &service, steady_time now) const;
    upstream_pointer find(const std::string &id) const;
    const std::map<std::string, upstream_pointer> &all() const { return m_upstreams; }
    bool isEvacuated(const upstream_state &upstream) const
    {
        return m_evacuated.contains(upstream.listed.failureDomain);
    }
    bool isEmpty() const { return m_upstreams.empty(); }
    // Closes connections that have been idle for too long, and forgets gates that no longer count.
    void closeIdle();

    // An idle connection that was used at most `maxIdle` ago, or null.
    std::unique_ptr<http_client> takeIdle(upstream_state &upstream,
                                          std::chrono::milliseconds maxIdle);
    void keepIdle(const upstream_pointer &upstream, std::unique_ptr<http_client> client);
    // A connection to the upstream ended, or could not be made; its process was alive at `aliveAt`.
    void recordLoss(upstream_state &upstream, steady_time aliveAt);

private:
    void extendCold(upstream_state &upstream, steady_time until, const char *reason);

    event_loop &m_loop;
    std::map<std::string, std::string> m_regionOfDomain;
    event_log &m_events;
    std::map<std::string, upstream_pointer> m_upstreams; // by id
    std::map<std::string, std::vector<upstream_state *>> m_byService;
    std::set<std::string> m_evacuated;
    // By id. What was sent a moment ago counts also if the entry changes or is gone meanwhile.
    std::map<std::string, std::shared_ptr<cold_gate>> m_gates;
};

} // namespace buckthorngrade
