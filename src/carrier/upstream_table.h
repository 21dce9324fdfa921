#pragma once

#include "base/event_log.h"
#include "carrier/route_table.h"
#include "model/upstream_listing.h"
#include "net/http_client.h"
#include "steering/restart_detector.h"
#include "steering/shared_rate_limiter.h"
#include "steering/upstream_notices.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Why an upstream gets no requests.
enum class unavailability {
    none,
    draining, // as the list says
    leaving, // as its responses say
    quiet, // it wants none for a while
    returning, // after that, while it has a request in progress
    replaced, // another upstream has responded at its address
    evacuated,
    unreachable,
};

// State and idle connections that this entry instance keeps for one process of an upstream. A
// restarted process gets a new upstream_state.
struct upstream_state
{
    listed_upstream listed;
    std::string region;
    std::uint64_t hash = 0;
    socket_address address;
    steady_time coldUntil = steady_time::min();
    const char *coldReason = ""; // why it is cold, or was cold last
    std::shared_ptr<shared_rate_limiter> coldGate;
    restart_detector restarts;
    // Shared by all entries for the same process.
    std::shared_ptr<upstream_notices> notices;
    std::shared_ptr<shared_rate_limiter> limitGate;
    // Its position in shareRank(), computed for a revision of the peers.
    std::optional<std::size_t> limitRank;
    std::optional<std::uint64_t> limitRankRevision;
    bool isReplaced = false; // another upstream has responded at its address
    std::uint32_t inFlight = 0; // requests from this instance

    // The load that the upstream reported with its latest response.
    double reportedLoad = 0;
    std::uint32_t inFlightAtReport = 0;
    steady_time reportedAt = steady_time::min();

    // Hashes of the objects that it handled for this instance, and when it did so last.
    std::unordered_map<std::uint64_t, steady_time> handledObjects;

    double serviceMs = 0; // moving average of response times; 0 before the first response
    steady_time serviceMsAt = steady_time::min();
    double failureShare = 0; // share of recent attempts that failed
    steady_time failureShareAt = steady_time::min();
    std::uint32_t connectFailures = 0; // consecutive
    steady_time ejectedUntil = steady_time::min();

    struct idle_connection
    {
        std::unique_ptr<http_client> client;
        steady_time since;
    };
    std::list<idle_connection> idle; // most recently used first

    // Returns why it gets no requests, whether or not it is cold.
    unavailability whyUnavailable(steady_time now, bool isEvacuated) const;
    // `coldPeriod` is that of its service.
    bool isCold(steady_time now, std::chrono::milliseconds coldPeriod) const
    {
        return now < coldUntil || restarts.isSuspected(now, coldPeriod);
    }
    // Estimated number of requests that it runs or queues, from its last reported load and the
    // requests of this instance.
    double estimatedLoad(steady_time now) const;
    double estimatedFailureShare(steady_time now) const;
    // Returns the number of requests that it should run at a time. With a request limit, this is
    // what the limit amounts to at `serviceTime` for a request, and may be less than 1.
    double usableSlots(std::chrono::duration<double, std::milli> serviceTime) const;
    // Returns whether there is a recent estimate of the service time. The estimate expires, so that
    // an upstream that gets few requests because it was slow is tried again.
    bool isServiceTimeKnown(steady_time now) const;
    bool isWarmFor(std::uint64_t object, steady_time now) const;
    void recordHandled(std::uint64_t object, steady_time now);
    void recordOutcome(bool failed, steady_time now);
    void recordServiceTime(std::chrono::milliseconds time, steady_time now);
    void recordLoad(double running, double waiting, steady_time now);
    // Ejects an unreachable upstream for a time that doubles with each consecutive failure, up to a
    // limit.
    void recordUnreachable(steady_time now);
};

using upstream_pointer = std::shared_ptr<upstream_state>;

// The listed upstreams of all services.
class upstream_table
{
public:
    upstream_table(event_loop &loop, std::map<std::string, std::string> regionOfDomain,
                   event_log &events);

    // Replaces the list. Upstreams that are no longer listed get no new requests; their requests in
    // progress continue.
    void apply(const upstream_listing &listing, const route_table *routes);
    // Sets the evacuated failure domains, whose upstreams get no requests. When the evacuation of a
    // domain ends, its upstreams are cold for the cold period of their service, because they may
    // have been replaced meanwhile. If evacuations may have been missed, this applies to the
    // upstreams of all domains that are not evacuated.
    void setEvacuated(std::set<std::string> domains, bool mayHaveMissed, const route_table *routes);

    // Returns the upstreams of the service that may get requests, ordered by id.
    std::vector<upstream_state *> usable(const std::string &service, steady_time now) const;
    // Returns when the first upstream of the service that only has to wait may get a request, or
    // nullopt if there is none.
    std::optional<steady_time> nextAvailable(const std::string &service, steady_time now) const;
    upstream_pointer find(const std::string &id) const;
    const std::map<std::string, upstream_pointer> &all() const { return m_upstreams; }
    bool isEvacuated(const upstream_state &upstream) const
    {
        return m_evacuated.contains(upstream.listed.failureDomain);
    }
    bool isEmpty() const { return m_upstreams.empty(); }
    // Closes connections that have been idle for too long, deletes unused cold gates, and logs the
    // ends of quiet periods.
    void closeIdle();

    // Returns a connection that was idle for at most `maxIdle`, or null.
    std::unique_ptr<http_client> takeIdle(upstream_state &upstream,
                                          std::chrono::milliseconds maxIdle);
    void keepIdle(const upstream_pointer &upstream, std::unique_ptr<http_client> client);
    // Records that a connection to the upstream was lost or could not be established. The
    // upstream's process was alive at `aliveAt`.
    void recordConnectionLoss(upstream_state &upstream, steady_time aliveAt);
    // Record what the upstream said in a response.
    void recordLeaving(upstream_state &upstream);
    void recordQuiet(upstream_state &upstream, std::chrono::milliseconds period);
    // Returns whether the upstream now takes fewer requests than before.
    bool recordLimit(upstream_state &upstream, std::optional<double> perSecond);
    // Records what the process `startedMs` of the upstream `id`, which need not be listed yet, said
    // to another instance.
    void recordSharedLimit(const std::string &id, std::int64_t startedMs,
                           const limit_observation &observation);

private:
    // Logs a change of the limit from `before`. Returns whether it was lowered.
    bool logLimitChange(const std::string &id, std::int64_t startedMs, std::optional<double> before,
                        std::optional<double> after, bool isShared);
    void extendCold(upstream_state &upstream, steady_time until, const char *reason);

    event_loop &m_loop;
    std::map<std::string, std::string> m_regionOfDomain;
    event_log &m_events;
    std::map<std::string, upstream_pointer> m_upstreams; // by id
    std::map<std::string, std::vector<upstream_state *>> m_byService;
    std::set<std::string> m_evacuated;
    // By id. Gates outlive the entries of the list, so that recently sent requests still count when
    // an upstream is relisted or restarts.
    std::map<std::string, std::shared_ptr<shared_rate_limiter>> m_coldGates;

    // By id and start time. They outlive the entries of the list, because an entry may be missing
    // or unreadable in one reading and there in the next.
    struct lifetime_notices
    {
        std::shared_ptr<upstream_notices> notices = std::make_shared<upstream_notices>();
        std::shared_ptr<shared_rate_limiter> limitGate = std::make_shared<shared_rate_limiter>();
        steady_time listedAt;
    };
    std::map<std::pair<std::string, std::int64_t>, lifetime_notices> m_notices;
    std::set<std::string> m_quiet; // ids of upstreams whose quiet period was not logged as ended
};

} // namespace buckthorngrade
