#include "entry/entry_server.h"

#include <fmt/format.h>

#include <algorithm>

namespace buckthorngrade {

namespace {

constexpr std::string_view servicePrefix = "/svc/";
constexpr std::string_view explainPrefix = "/v1/explain/";
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int serviceUnavailable = 503;

void replyText(http_exchange &exchange, int status, const std::string &text)
{
    exchange.reply(status, {{"Content-Type", "text/plain"}}, text);
}

void replyJson(http_exchange &exchange, const std::string &text)
{
    exchange.reply(ok, {{"Content-Type", "application/json"}}, text + "\n");
}

} // namespace

entry_server::entry_server(const settings &config, lookup_service &lookups,
                           request_forwarder &forwarder, const decision_log &decisions,
                           const entry_status &status, metric_registry &metrics,
                           const json_tracer &tracer)
    : m_settings(config)
    , m_lookups(lookups)
    , m_forwarder(forwarder)
    , m_decisions(decisions)
    , m_status(status)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void entry_server::handle(http_exchange &exchange)
{
    const std::string_view target = exchange.head().target;
    const auto queryStart = std::min(target.find('?'), target.size());
    const std::string_view path = target.substr(0, queryStart);
    if (path.starts_with(servicePrefix))
        return forward(exchange, path);
    if (exchange.head().method != "GET" && exchange.head().method != "HEAD")
        return replyText(exchange, methodNotAllowed, "only GET is allowed here\n");
    if (path == "/v1/lookup")
        return m_lookups.answer(exchange, target.substr(std::min(queryStart + 1, target.size())));
    if (path.starts_with(explainPrefix))
        return explain(exchange, path.substr(explainPrefix.size()));
    if (path == "/v1/status")
        return replyJson(exchange, m_status.toJson());
    if (path == "/healthz")
        return replyText(exchange, ok, "ok\n");
    if (path == "/readyz")
        return readiness(exchange);
    if (path == "/metrics")
        return exchange.reply(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                              m_metrics.render());
    replyText(exchange, notFound, "no such path\n");
}

void entry_server::forward(http_exchange &exchange, std::string_view path)
{
    const auto slash = std::min(path.find('/', servicePrefix.size()), path.size());
    const std::string_view name = path.substr(servicePrefix.size(), slash - servicePrefix.size());
    const auto &services = m_settings.deployment.services;
    const auto found = std::ranges::find(services, name, &service_spec::name);
    if (found == services.end())
        return replyText(exchange, notFound, "no such service\n");
    const auto span = m_tracer.startFromHeader("entry.request", exchange.head().get("traceparent"));
    span->SetTag("service", found->name);
    std::string upstreamTarget = exchange.head().target.substr(slash);
    if (!upstreamTarget.starts_with('/'))
        upstreamTarget = fmt::format("/{}", upstreamTarget);
    m_forwarder.forward(static_cast<std::size_t>(found - services.begin()), upstreamTarget,
                        exchange, *span);
}

void entry_server::explain(http_exchange &exchange, std::string_view id)
{
    const auto records = m_decisions.find(std::string(id));
    if (records.empty())
        return replyText(exchange, notFound,
                         "this instance keeps no record of that decision; see the counts per rule "
                         "in /v1/status\n");
    replyJson(exchange, fmt::format(R"({{"records":[{}]}})", fmt::join(records, ",")));
}

void entry_server::readiness(http_exchange &exchange)
{
    const std::string notReady = m_status.notReadyReason();
    replyText(exchange, notReady.empty() ? ok : serviceUnavailable,
              notReady.empty() ? "ready\n" : notReady + "\n");
}

} // namespace buckthorngrade
