#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_exchange.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/claim_client.h"
#include "entry/client_locator.h"
#include "entry/decision_log.h"
#include "entry/link_rate_limiter.h"
#include "entry/request_body.h"
#include "entry/service_balancer.h"
#include "entry/upstream_attempt.h"
#include "entry/upstream_pool.h"
#include "model/config_snapshot.h"
#include "model/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// Forwards callers' requests to upstreams and relays the responses, streaming both bodies in
// bounded memory. The rules are in docs/design.md, 5.5 and 5.7.
class request_forwarder
{
public:
    // All references must outlive this. `balancers` has one element for each service of the
    // topology, in the same order.
    request_forwarder(const settings &config, const config_source &source,
                      const std::vector<std::unique_ptr<service_balancer>> &balancers,
                      claim_client &claims, decision_log &decisions, link_rate_limiter &linkLimiter,
                      upstream_pool &pool, const client_locator &locator, const clock_source &clock,
                      event_log &events, metric_registry &metrics, const json_tracer &tracer);

    // `service` is the index into the topology's services, `path` the request target that is sent
    // to the upstream. Always sends a response, or closes the caller's connection if the response
    // has already begun or the caller has disconnected.
    void forward(std::size_t service, const std::string &path, http_exchange &exchange,
                 const opentracing::Span &parent);

private:
    struct request_context;

    void process(request_context &context);
    void answerCallerError(request_context &context, const caller_error &failure);
    bool admitForeign(request_context &context);
    bool beginClaim(request_context &context);
    void runAttempts(request_context &context);
    bool tryUpstream(request_context &context, std::size_t upstream);
    // Returns false if another attempt is to be made.
    bool handleFailure(request_context &context, std::size_t upstream, upstream_attempt &attempt,
                       failure_point point);
    retry_decision decide(request_context &context, failure_point point);
    void handleResponse(request_context &context, std::size_t upstream, upstream_attempt &attempt,
                        steady_time started);
    void relayResponse(request_context &context, std::size_t upstream, upstream_attempt &attempt);
    void recordKeyOutcome(request_context &context, key_action action, const std::string &body,
                          bool isBodyComplete, const http_head *response);
    void refuse(request_context &context, int status, const std::string &outcome,
                std::string_view rule, const std::string &message);
    void replyRecorded(request_context &context, const wire::recorded_response &response);
    void recordCompletion(request_context &context);

    const settings &m_settings;
    const config_source &m_config;
    const std::vector<std::unique_ptr<service_balancer>> &m_balancers;
    claim_client &m_claims;
    decision_log &m_decisions;
    link_rate_limiter &m_linkLimiter;
    upstream_pool &m_pool;
    const client_locator &m_locator;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
};

} // namespace buckthorngrade
