#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/upstream_pool.h"
#include "model/config_snapshot.h"
#include "model/settings.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace buckthorngrade {

// Carries callers' requests to upstreams and answers back, streaming both bodies in bounded memory.
class request_carrier
{
public:
    // All references must outlive this.
    request_carrier(const settings &config, const config_source &source, const clock_source &clock,
                    event_log &events, metric_registry &metrics, const json_tracer &tracer);

    // `path` is what the upstream sees. Always answers `response`, or closes the caller's
    // connection if the answer was already under way.
    void carry(const service_spec &service, const std::string &path,
               Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
               const opentracing::Span &parent, const std::string &decisionId);

private:
    const upstream_spec *choose(const service_spec &service) const;
    void refuse(Poco::Net::HTTPServerResponse &response, int status, const std::string &outcome,
                const std::string &message);
    void forward(const service_spec &service, const upstream_spec &upstream,
                 const std::string &path, Poco::Net::HTTPServerRequest &request,
                 Poco::Net::HTTPServerResponse &response, opentracing::Span &span);

    const settings &m_settings;
    const config_source &m_config;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
    upstream_pool m_pool;
    std::map<std::string, std::unique_ptr<std::atomic<std::uint32_t>>> m_inFlight; // by address
};

} // namespace buckthorngrade
