#pragma once

#include "carrier/reverse_proxy.h"
#include "testing/http_client.h"
#include "testing/scripted_server.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace buckthorngrade {

using namespace std::chrono_literals;

inline const proxy_header_names headerNames;

inline node_settings nodeSettings()
{
    node_settings result;
    result.name = "entry-1";
    result.host = "127.0.0.1";
    result.region = "r";
    result.failureDomain = "d";
    result.regionOfDomain = {{"d", "r"}, {"e", "r"}};
    result.retryAllowance = 1'000;
    result.coldOverage = 1.5;
    result.coldAllowance = 5;
    result.linkBytesPerSecond = 40'000; // low enough that a connect timeout is several seconds
    return result;
}

inline route routeFor(const std::string &prefix, request_kind kind)
{
    route result;
    result.name = prefix;
    result.host = "test"; // the Host field of the test client
    result.pathPrefix = prefix;
    result.kind = kind;
    result.timeout = 20s;
    result.latencyTarget = 500ms;
    result.services = {{"s", 1}};
    result.maxAttempts = 2;
    return result;
}

constexpr std::size_t streamingThresholdBytes = 1'000;

inline http_server_options serverOptions()
{
    http_server_options result;
    result.streamingThresholdBytes = streamingThresholdBytes;
    return result;
}

// An HTTP server with the proxy under test, and scripted upstreams "u0", "u1" ... of service "s".
class proxy_fixture
{
public:
    // `events` must outlive this object.
    explicit proxy_fixture(std::vector<scripted_server::script> scripts,
                           event_log &events = discardedEvents())
        : m_events(events)
        , m_proxy(m_thread.loop(), m_settings, headerNames, m_peers, m_events, m_metrics)
        , m_server(m_thread.loop(), {"127.0.0.1", 0}, serverOptions(),
                   [this](const exchange_pointer &exchange) { m_proxy.handle(exchange); })
    {
        upstream_listing listing;
        listing.readAt = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < scripts.size(); ++i) {
            upstreams.push_back(
                std::make_unique<scripted_server>(m_thread.loop(), std::move(scripts[i])));
            listing.upstreams.push_back(
                {fmt::format("u{}", i), "s", upstreams.back()->address(), "d", 4, false, 0ms, 1});
        }
        m_listing = listing;
        routing_document document;
        document.version = 1;
        document.routes = {routeFor("/safe/", request_kind::idempotent),
                           routeFor("/once/", request_kind::non_idempotent)};
        document.routes.push_back(routeFor("/short/", request_kind::non_idempotent));
        document.routes.back().timeout = 150ms;
        document.routes.push_back(routeFor("/home/", request_kind::idempotent));
        document.routes.back().homeRegions = {"other"};
        document.services = {{"s", "/health", 100, 3s, 1}};
        m_proxy.setUpstreams(listing);
        m_proxy.setRouting(std::make_shared<const route_table>(document));
        // Simulates that control instances have reported this instance for the whole retry window,
        // so that it may use its shares.
        const boot_time now = boot_clock::now();
        for (auto age = m_settings.retryWindow; age.count() > 0; age -= peer_view::validity / 2)
            m_peers.update(m_reportedInstances, now - age);
        m_proxy.setInstances(m_reportedInstances);
        m_thread.loop().runEvery(500ms, [this] { m_proxy.setInstances(m_reportedInstances); });
        m_thread.start();
    }
    ~proxy_fixture() { m_thread.stop(); }
    proxy_fixture(const proxy_fixture &) = delete;
    proxy_fixture &operator=(const proxy_fixture &) = delete;

    http_response send(const std::string &path, const std::string &id = "id-1",
                       const std::string &body = {}, const std::string &object = {},
                       const std::string &deadlineMs = "30000")
    {
        http_request request;
        request.method = body.empty() ? "GET" : "POST";
        request.path = path;
        request.headers = {{headerNames.deadlineMs, deadlineMs}};
        if (!id.empty())
            request.headers[headerNames.requestId] = id;
        if (!object.empty())
            request.headers["Cookie"] = headerNames.affinityCookie + "=" + object;
        request.body = body;
        return exchange(m_server.address().toString(), request);
    }
    // Bytes of incomplete responses that the proxy keeps.
    std::uint64_t receivedBytes()
    {
        std::uint64_t result = 0;
        m_thread.call([&] { result = m_proxy.receivedBytes(); });
        return result;
    }
    std::string address() const { return m_server.address().toString(); }
    std::size_t arrivals() const
    {
        std::size_t result = 0;
        for (const auto &upstream : upstreams)
            result += upstream->requests().size();
        return result;
    }
    void apply(const std::function<void(upstream_listing &)> &change)
    {
        m_thread.call([&] {
            change(m_listing);
            m_proxy.setUpstreams(m_listing);
        });
    }
    // Sets the entry instances that a control instance reports.
    void setInstances(const std::vector<peer_instance> &instances)
    {
        m_thread.call([&] {
            m_reportedInstances = instances;
            m_proxy.setInstances(m_reportedInstances);
        });
    }
    reverse_proxy &proxy() { return m_proxy; }
    loop_thread &thread() { return m_thread; }

    std::vector<std::unique_ptr<scripted_server>> upstreams;

private:
    static event_log &discardedEvents()
    {
        static null_event_log events;
        return events;
    }

    loop_thread m_thread;
    const node_settings m_settings = nodeSettings();
    std::vector<peer_instance> m_reportedInstances = {{"entry-1", "r"}};
    peer_view m_peers{"entry-1"};
    event_log &m_events;
    metric_registry m_metrics;
    upstream_listing m_listing;
    reverse_proxy m_proxy;
    http_server m_server;
};

inline std::string echo(const std::string &request)
{
    return fmt::format("{}: {}\r\n", headerNames.requestId,
                       scriptedField(request, headerNames.requestId));
}

// The fields with which an upstream proves that a success is its response to the request.
inline std::string signedEcho(const std::string &request)
{
    return echo(request) + headerNames.seal + ": s\r\n";
}

inline scripted_answer answerOk(const std::string &request)
{
    return {scriptedResponse(200, signedEcho(request), "done")};
}

inline scripted_answer refuse(const std::string &request)
{
    return {scriptedResponse(503, echo(request) + headerNames.notRun + ": 1\r\n", "")};
}

} // namespace buckthorngrade
