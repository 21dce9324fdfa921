#pragma once

#include "base/event_log.h"
#include "base/metrics.h"
#include "carrier/limit_tracker.h"
#include "carrier/proxy_header_names.h"
#include "carrier/request_log.h"
#include "carrier/route_table.h"
#include "carrier/upstream_table.h"
#include "link.pb.h"
#include "model/node_settings.h"
#include "net/http_server.h"
#include "net/response_budget.h"
#include "steering/connect_timeout.h"
#include "steering/peer_view.h"
#include "steering/region_share.h"
#include "steering/shared_rate_limiter.h"
#include "steering/shared_retry_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace buckthorngrade {

class proxied_request;

// Forwards callers' requests to upstreams according to the current routing document. All methods
// and callbacks run on the event loop's thread.
class reverse_proxy
{
public:
    // All references must outlive this object.
    reverse_proxy(event_loop &loop, const node_settings &settings,
                  const proxy_header_names &headerNames, peer_view &peers, event_log &events,
                  metric_registry &metrics);
    ~reverse_proxy();
    reverse_proxy(const reverse_proxy &) = delete;
    reverse_proxy &operator=(const reverse_proxy &) = delete;

    // Starts to forward a request. The exchange gets its response later.
    void handle(const exchange_pointer &exchange);

    void setRouting(std::shared_ptr<const route_table> routes);
    // `mayHaveMissed`: evacuations of other failure domains may have begun and ended without this
    // instance knowing.
    void setEvacuated(std::set<std::string> domains, bool mayHaveMissed);
    void setUpstreams(const upstream_listing &listing);
    // Sets the entry instances that a control instance reported.
    void setInstances(const std::vector<peer_instance> &instances);
    void setRegionLoads(const std::vector<wire::region_load> &loads);
    // Adds the request limits that the other entry instances may not know to a report, and applies
    // those that they named.
    void describeLimits(wire::node_report &report) const;
    void applyLimits(const wire::node_view &view);
    // Counts a request that was rejected as malformed, and logs it within the log's rate limit.
    void recordInvalidRequest(const std::string &reason);
    // Counts and logs a connection that was closed because its caller took no byte of its responses
    // for too long.
    void recordUndelivered(std::uint64_t bytes);
    // Sets the time at which requests in progress will be cut off. Requests, and further attempts,
    // that are not expected to end before it are rejected.
    void setStopTime(steady_time time) { m_stopTime = time; }
    // Rejects all later requests.
    void rejectNewRequests() { m_isStopping = true; }

    // Limit for the incomplete responses of all upstreams together. Entry instances have 160 MB and
    // more, of which the bodies of requests may take 48 MB (http_server_options::maxBufferedBytes);
    // a response is copied once when it is complete.
    static constexpr std::uint64_t maxReceivedBytes = 32U << 20;
    std::uint64_t receivedBytes() const { return m_responseBudget.heldBytes(); }

    const route_table *routes() const { return m_routes.get(); }
    const upstream_table &upstreams() const { return m_upstreams; }
    // Returns this instance's requests that run or wait at upstreams, by service and region, for
    // its report to the control instances.
    std::vector<wire::region_load> ownLoads() const;

private:
    friend class proxied_request;

    struct service_state
    {
        shared_retry_budget budget;
        region_share share;
        double serviceMs = 0; // moving average over all its upstreams; 0 before a response
    };

    // The upstream selected for an attempt, and its estimates at the time of the selection.
    struct choice
    {
        upstream_pointer upstream; // null if no upstream can take the request
        const char *reason = ""; // why upstream is null
        bool isFirst = false; // it is the first preference of the request's object
        bool isWarm = false; // it has handled the object recently
        rate_permit coldPermit = {}; // held if the upstream is cold
        rate_permit limitPermit = {}; // held if the upstream names a request limit
        double load = 0; // estimated number of requests that it runs or queues
        std::chrono::duration<double, std::milli> expected{0}; // time until the response
    };
    // Selects the upstream for an attempt. `excluded` has the ids of upstreams that must not be
    // selected, because they were tried before.
    choice choose(const route &route, const std::string &service,
                  const std::optional<std::uint64_t> &affinity, std::uint64_t bodyBytes,
                  const std::set<std::string> &excluded);
    // Record that the upstream wants no further requests, or none for a while, and withdraw those
    // that were not sent yet.
    void recordLeaving(const upstream_pointer &upstream);
    void recordQuiet(const upstream_pointer &upstream, std::chrono::milliseconds period);
    // Records what a response of the upstream said about its request limit. Requests that exceed a
    // new limit and were not sent yet are withdrawn.
    void recordLimit(const upstream_pointer &upstream, std::optional<double> perSecond);
    void withdrawUnsent(const upstream_pointer &upstream);
    void forEachActiveRequest(const std::function<void(proxied_request &)> &action);
    // Records a response that took `time`, including the network round trip.
    void recordServiceTime(upstream_state &upstream, std::chrono::milliseconds time);
    service_state &stateOf(const std::string &service);
    void updateShares();
    connect_timeout &connectTimeoutTo(const upstream_state &upstream);
    // Estimated network time of a request and its response.
    std::chrono::duration<double, std::milli>
    networkLatencyTo(const upstream_state &upstream) const;
    // Estimated number of this instance's requests that use a slot of the upstream or wait for one.
    double runningRequests(const upstream_state &upstream) const;
    // Requests per second that all entry instances together may send to the upstream while it is
    // cold.
    double coldLimit(const upstream_state &upstream) const;
    // This instance's shares of the rates that hold for the upstream; nullopt if it has no such
    // rate.
    struct rate_shares
    {
        std::optional<rate_share> cold;
        std::optional<rate_share> limit;
    };
    rate_shares sharesOf(upstream_state &upstream, steady_time now, bool mayUseColdShares);
    std::optional<rate_share> limitShare(upstream_state &upstream, steady_time now);
    // Reserves a request within the upstream's limit. The result is not held if there is no limit
    // or the share is used up.
    rate_permit tryReserveLimit(upstream_state &upstream, steady_time now);
    // Service time of a request to the upstream, or an estimate of it.
    std::chrono::duration<double, std::milli>
    serviceTimeOf(const upstream_state &upstream, steady_time now,
                  std::chrono::duration<double, std::milli> latencyTarget);
    // Number of entry instances that share the retry allowance; 0 while this instance may not use
    // its share.
    std::size_t retryAllowanceSharers() const;

    event_loop &m_loop;
    const node_settings &m_settings;
    const proxy_header_names &m_headerNames;
    event_log &m_events;
    request_log m_log;
    metric_registry &m_metrics;
    std::shared_ptr<const route_table> m_routes;
    response_budget m_responseBudget; // must outlive the connections of m_upstreams
    upstream_table m_upstreams;
    limit_tracker m_limits;
    peer_view &m_peers;
    service_splitter m_splitter;
    std::map<std::string, service_state> m_services;
    // Requests of all entry instances, by service and region.
    std::map<std::pair<std::string, std::string>, double> m_regionLoads;
    connect_timeout m_sameRegionConnect;
    connect_timeout m_crossRegionConnect;
    std::unordered_set<proxied_request *> m_activeRequests;
    std::mt19937_64 m_random;
    std::optional<steady_time> m_stopTime;
    bool m_isStopping = false;
};

} // namespace buckthorngrade
