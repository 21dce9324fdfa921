#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_exchange.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/claim_client.h"
#include "entry/client_locator.h"
#include "entry/decision_log.h"
#include "entry/link_meter.h"
#include "entry/request_body.h"
#include "entry/service_balancer.h"
#include "entry/upstream_pool.h"
#include "entry/upstream_try.h"
#include "model/config_snapshot.h"
#include "model/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// Forwards callers' requests to upstreams and relays the responses, streaming both bodies in
// bounded memory. The rules are in docs/design.md, 5.5 and 5.7.
class request_carrier
{
public:
    // All references must outlive this. `balancers` has one element for each service of the
    // topology, in the same order.
    request_carrier(const settings &config, const config_source &source,
                    const std::vector<std::unique_ptr<service_balancer>> &balancers,
                    claim_client &claims, decision_log &decisions, link_meter &links,
                    upstream_pool &pool, const client_locator &locator, const clock_source &clock,
                    event_log &events, metric_registry &metrics, const json_tracer &tracer);

    // `service` is the index into the topology's services, `path` the request target that is sent
    // to the upstream. Always sends a response, or closes the caller's connection if the response
    // has already begun or the caller has disconnected.
    void carry(std::size_t service, const std::string &path, http_exchange &exchange,
               const opentracing::Span &parent);

private:
    struct work;

    void start(work &item);
    void answerCallerError(work &item, const caller_error &failure);
    bool admit(work &item);
    bool beginClaim(work &item);
    void runTries(work &item);
    bool tryUpstream(work &item, std::size_t upstream);
    // Returns false if another attempt is to be made.
    bool handleFailure(work &item, std::size_t upstream, upstream_try &attempt,
                       failure_point point);
    retry_decision decide(work &item, failure_point point);
    void handleResponse(work &item, std::size_t upstream, upstream_try &attempt,
                        steady_time started);
    void relay(work &item, std::size_t upstream, upstream_try &attempt);
    void finishKey(work &item, key_action action, const std::string &body, bool isBodyComplete,
                   const http_head *response);
    void refuse(work &item, int status, const std::string &outcome, std::string_view rule,
                const std::string &message);
    void replyRecorded(work &item, const wire::recorded_response &response);
    void conclude(work &item);

    const settings &m_settings;
    const config_source &m_config;
    const std::vector<std::unique_ptr<service_balancer>> &m_balancers;
    claim_client &m_claims;
    decision_log &m_decisions;
    link_meter &m_links;
    upstream_pool &m_pool;
    const client_locator &m_locator;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
};

} // namespace buckthorngrade
