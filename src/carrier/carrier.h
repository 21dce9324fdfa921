#pragma once

#include "base/event_log.h"
#include "base/metrics.h"
#include "carrier/carry_protocol.h"
#include "carrier/request_log.h"
#include "carrier/route_table.h"
#include "carrier/upstream_table.h"
#include "link.pb.h"
#include "model/node_settings.h"
#include "net/http_server.h"
#include "steering/cold_gate.h"
#include "steering/peer_view.h"
#include "steering/region_share.h"
#include "steering/retry_budget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace buckthorngrade {

class carried_request;

// Carries callers' requests to upstreams by the routing document in force. All of it runs on the
// event loop's thread.
class carrier
{
public:
    // All references must outlive this.
    carrier(event_loop &loop, const node_settings &settings, const carry_protocol &protocol,
            peer_view &peers, event_log &events, metric_registry &metrics);
    ~carrier();
    carrier(const carrier &) = delete;
    carrier &operator=(const carrier &) = delete;

    // Takes a request; its exchange is answered later.
    void handle(const exchange_pointer &exchange);

    void setRouting(std::shared_ptr<const route_table> routes);
    // `mayHaveMissed`: other failure domains may have been evacuated and taken back unseen.
    void setEvacuated(std::set<std::string> domains, bool mayHaveMissed);
    void setUpstreams(const upstream_listing &listing);
    // The entry instances that a control instance names.
    void setInstances(const std::vector<peer_instance> &instances);
    void setRegionLoads(const std::vector<wire::region_load> &loads);
    // Logs a request that was rejected as malformed, within the bounds of the log.
    void recordInvalid(const std::string &reason);
    // From now on new requests are refused.
    void stopTaking() { m_isStopping = true; }

    const route_table *routes() const { return m_routes.get(); }
    const upstream_table &upstreams() const { return m_upstreams; }
    // Own requests that run or wait at upstreams, by service and region, for the report.
    std::vector<wire::region_load> ownLoads() const;

private:
    friend class carried_request;

    struct service_state
    {
        retry_budget budget;
        region_share share;
        double serviceMs = 0; // mean time of recent responses of all its upstreams; 0: none yet
    };

    // An upstream for an attempt, and what was known of it at that moment.
    struct choice
    {
        upstream_pointer upstream; // null: none can take the request
        const char *reason = ""; // why none can
        bool isFirst = false; // the first upstream of the request's object
        bool isWarm = false; // it has handled the object recently
        cold_permit coldPermit = {}; // held if the upstream is cold
        double load = 0; // requests that it runs or queues, estimated
        std::chrono::duration<double, std::milli> expected{0}; // time until the response
    };
    // Picks the upstream for an attempt; upstreams in `excluded` were tried before.
    choice choose(const route &route, const std::string &service,
                  const std::optional<std::uint64_t> &affinity, std::uint64_t bodyBytes,
                  const std::set<std::string> &excluded);
    // Counts a response that took `time`, the way there and back included.
    void recordServiceTime(upstream_state &upstream, std::chrono::milliseconds time);
    service_state &stateOf(const std::string &service);
    void updateShares();
    // Time that the network takes for a request and its response.
    std::chrono::duration<double, std::milli> tripTo(const upstream_state &upstream) const;
    // Own requests that take a slot of the upstream or wait for one, estimated.
    double runningRequests(const upstream_state &upstream) const;
    double coldLimit(const upstream_state &upstream) const;
    // Entry instances among which the allowance of retries is divided; 0: this one has no part yet.
    std::size_t allowanceSharers() const;

    event_loop &m_loop;
    const node_settings &m_settings;
    const carry_protocol &m_protocol;
    event_log &m_events;
    request_log m_log;
    metric_registry &m_metrics;
    std::shared_ptr<const route_table> m_routes;
    upstream_table m_upstreams;
    peer_view &m_peers;
    service_splitter m_splitter;
    std::map<std::string, service_state> m_services;
    std::map<std::pair<std::string, std::string>, double> m_sharedLoads; // requests of all
                                                                         // instances
    std::unordered_set<carried_request *> m_underWay;
    std::mt19937_64 m_random;
    bool m_isStopping = false;
};

} // namespace buckthorngrade
