#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/instance_directory.h"
#include "entry/report_client.h"
#include "entry/request_carrier.h"
#include "model/config_snapshot.h"
#include "model/settings.h"

#include <atomic>
#include <string>

namespace buckthorngrade {

// The callers' HTTP interface of an entry instance:
//   GET /v1/lookup?service=NAME[&client=IP]   which entry instances to use
//   ANY /svc/NAME/PATH                        a request to the service
//   GET /healthz, /readyz, /metrics
class entry_server final : public http_handler
{
public:
    // All references must outlive this.
    entry_server(const settings &config, const config_source &source,
                 const instance_directory &directory, const report_client &reports,
                 request_carrier &carrier, const clock_source &clock, event_log &events,
                 metric_registry &metrics, const json_tracer &tracer);

    void handle(Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response) override;

private:
    void lookup(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void readiness(Poco::Net::HTTPServerResponse &response);
    std::string nextDecisionId();

    const settings &m_settings;
    const config_source &m_config;
    const instance_directory &m_directory;
    const report_client &m_reports;
    request_carrier &m_carrier;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
    std::atomic<std::uint64_t> m_nextDecision = 1;
};

} // namespace buckthorngrade
