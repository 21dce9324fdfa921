#include "entry/entry_server.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace buckthorngrade {

namespace {

constexpr std::string_view servicePrefix = "/svc/";

} // namespace

entry_server::entry_server(const settings &config, const config_source &source,
                           const instance_directory &directory, const report_client &reports,
                           request_carrier &carrier, const clock_source &clock, event_log &events,
                           metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_config(source)
    , m_directory(directory)
    , m_reports(reports)
    , m_carrier(carrier)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

std::string entry_server::nextDecisionId()
{
    return fmt::format("{}-{}", m_settings.instance, m_nextDecision++);
}

void entry_server::handle(Poco::Net::HTTPServerRequest &request,
                          Poco::Net::HTTPServerResponse &response)
{
    const std::string uri = request.getURI();
    const std::string path = uri.substr(0, uri.find('?'));
    if (path == "/healthz")
        return sendBody(response, 200, "text/plain", "ok\n");
    if (path == "/readyz")
        return readiness(response);
    if (path == "/metrics")
        return sendBody(response, 200, "text/plain; version=0.0.4", m_metrics.render());
    if (path == "/v1/lookup" && request.getMethod() == "GET")
        return lookup(request, response);
    if (path.starts_with(servicePrefix)) {
        const std::size_t slash = path.find('/', servicePrefix.size());
        const std::string name = path.substr(servicePrefix.size(), slash - servicePrefix.size());
        if (const service_spec *service = m_settings.deployment.findService(name)) {
            const auto span
                = m_tracer.startFromHeader("entry.request", request.get("traceparent", ""));
            span->SetTag("service", name);
            const std::string rest = slash == std::string::npos ? "/" : uri.substr(slash);
            return m_carrier.carry(*service, rest, request, response, *span, nextDecisionId());
        }
    }
    sendBody(response, 404, "text/plain", "no such path or service\n");
}

void entry_server::lookup(Poco::Net::HTTPServerRequest &request,
                          Poco::Net::HTTPServerResponse &response)
{
    const auto span = m_tracer.startFromHeader("entry.lookup", request.get("traceparent", ""));
    std::string service;
    try {
        for (const auto &[key, value] : Poco::URI(request.getURI()).getQueryParameters())
            if (key == "service")
                service = value;
    } catch (const Poco::SyntaxException &) {
        service.clear();
    }
    const service_spec *spec = m_settings.deployment.findService(service);
    if (!spec)
        return sendBody(response, 404, "text/plain", "no such service\n");
    const auto config = m_config.current();
    const auto profileFound = config->profiles.find(spec->profile);
    const profile active
        = profileFound == config->profiles.end() ? profile{} : profileFound->second;
    Poco::JSON::Array::Ptr entries = new Poco::JSON::Array;
    for (const instance_status &status : m_directory.current()->instances) {
        if (status.state != instance_state::live
            || config->isDrained(drain_target::entry, status.name, m_clock.wallNow()))
            continue;
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("instance", status.name);
        item->set("address", status.address);
        item->set("weight", 1.0);
        entries->add(item);
    }
    const std::string decision = nextDecisionId();
    Poco::JSON::Object object;
    object.set("decision_id", decision);
    object.set("service", service);
    object.set("revision", config->revision);
    object.set("ttl_ms", static_cast<std::int64_t>(active.lookupLifetime.count()));
    object.set("entries", entries);
    std::ostringstream text;
    object.stringify(text);
    response.set("Buckthorn-Decision", decision);
    sendBody(response, entries->empty() ? 503 : 200, "application/json", text.str() + "\n");
    m_metrics.counter("buckthorngrade_lookups_total", fmt::format("service=\"{}\"", service)).add();
    m_events.write(event_id::lookup_answered,
                   {{"decision", decision}, {"service", service}, {"entries", entries->size()}});
}

void entry_server::readiness(Poco::Net::HTTPServerResponse &response)
{
    const bool ready = m_config.current()->revision > 0 && m_reports.currentUntil() > m_clock.now();
    sendBody(response, ready ? 200 : 503, "text/plain",
             ready ? "ready\n" : "the configuration is not confirmed as current\n");
}

} // namespace buckthorngrade
