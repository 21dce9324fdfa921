#pragma once

#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/decision_log.h"
#include "entry/entry_status.h"
#include "entry/lookup_service.h"
#include "entry/request_forwarder.h"
#include "model/settings.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// HTTP interface of an entry instance for callers:
//   GET /v1/lookup?service=NAME[&client=IP]   lists the entry instances to use
//   ANY /svc/NAME/PATH                        forwards a request to the service
//   GET /v1/explain/ID                        explains why a decision was made
//   GET /v1/status                            returns state, slots and counts as JSON
//   GET /healthz, /readyz, /metrics
class entry_server final : public exchange_handler
{
public:
    // All references must outlive this.
    entry_server(const settings &config, lookup_service &lookups, request_forwarder &forwarder,
                 const decision_log &decisions, const entry_status &status,
                 metric_registry &metrics, const json_tracer &tracer);

    void handle(http_exchange &exchange) override;

private:
    void forward(http_exchange &exchange, std::string_view path);
    void explain(http_exchange &exchange, std::string_view id);
    void readiness(http_exchange &exchange);

    const settings &m_settings;
    lookup_service &m_lookups;
    request_forwarder &m_forwarder;
    const decision_log &m_decisions;
    const entry_status &m_status;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
};

} // namespace buckthorngrade
