#include "entry/request_carrier.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace buckthorngrade {

namespace {

constexpr std::size_t copyBufferBytes = 64 * 1024;

// Headers that belong to one connection and are never carried on.
constexpr std::array<std::string_view, 9> hopHeaders = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

bool isHopHeader(const std::string &name)
{
    return std::ranges::any_of(hopHeaders, [&](std::string_view hop) {
        return std::ranges::equal(name, hop, [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) == b;
        });
    });
}

void copyStream(std::istream &from, std::ostream &to)
{
    std::array<char, copyBufferBytes> buffer;
    while (from.good() && to.good()) {
        from.read(buffer.data(), buffer.size());
        to.write(buffer.data(), from.gcount());
    }
}

template <typename From, typename To>
void copyHeaders(const From &from, To &to)
{
    for (const auto &[name, value] : from)
        if (!isHopHeader(name))
            to.add(name, value);
    if (from.getChunkedTransferEncoding())
        to.setChunkedTransferEncoding(true);
    else if (from.hasContentLength())
        to.setContentLength64(from.getContentLength64());
}

// Counts a request in flight for as long as it lives.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<std::uint32_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~in_flight_guard() { --m_count; }
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
    std::atomic<std::uint32_t> &m_count;
};

} // namespace

request_carrier::request_carrier(const settings &config, const config_source &source,
                                 const clock_source &clock, event_log &events,
                                 metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_config(source)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
{
    for (const service_spec &service : config.deployment.services)
        for (const upstream_spec &upstream : service.upstreams)
            m_inFlight[upstream.address] = std::make_unique<std::atomic<std::uint32_t>>(0);
}

const upstream_spec *request_carrier::choose(const service_spec &service) const
{
    const auto config = m_config.current();
    const wall_time now = m_clock.wallNow();
    const topology &deployment = m_settings.deployment;
    const upstream_spec *best = nullptr;
    std::uint32_t bestRank = 0;
    for (const upstream_spec &candidate : service.upstreams) {
        const std::uint32_t used = *m_inFlight.at(candidate.address);
        const std::string region = deployment.regionOf(candidate.failureDomain);
        if (used >= candidate.slots
            || config->isDrained(drain_target::upstream, candidate.name, now)
            || config->isDrained(drain_target::failure_domain, candidate.failureDomain, now)
            || config->isDrained(drain_target::region, region, now))
            continue;
        const std::uint32_t distance = candidate.failureDomain == m_settings.failureDomain ? 0
            : region == m_settings.region()                                                ? 1
                                                                                           : 2;
        const std::uint32_t rank = distance * 100'000 + used;
        if (!best || rank < bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

void request_carrier::refuse(Poco::Net::HTTPServerResponse &response, int status,
                             const std::string &outcome, const std::string &message)
{
    response.set("Buckthorn-Outcome", outcome);
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (outcome == "not-run")
        response.set("Retry-After", "1");
    response.setKeepAlive(false);
    response.setContentType("text/plain");
    response.sendBuffer(message.data(), message.size());
}

void request_carrier::carry(const service_spec &service, const std::string &path,
                            Poco::Net::HTTPServerRequest &request,
                            Poco::Net::HTTPServerResponse &response,
                            const opentracing::Span &parent, const std::string &decisionId)
{
    response.set("Buckthorn-Decision", decisionId);
    const upstream_spec *upstream = choose(service);
    if (!upstream) {
        m_events.write(event_id::request_refused,
                       {{"decision", decisionId}, {"service", service.name}, {"rule", "no-slot"}});
        m_metrics
            .counter("buckthorngrade_requests_total",
                     fmt::format("service=\"{}\",outcome=\"not-run\"", service.name))
            .add();
        return refuse(response, 503, "not-run", "no upstream has a free slot\n");
    }
    const auto span = m_tracer.startChild("entry.try", parent);
    span->SetTag("upstream", upstream->name);
    const in_flight_guard guard(*m_inFlight.at(upstream->address));
    const steady_time start = m_clock.now();
    std::string outcome = "ran";
    try {
        forward(service, *upstream, path, request, response, *span);
    } catch (const Poco::Exception &failure) {
        outcome = "unknown";
        span->SetTag("error", failure.displayText());
        m_events.write(event_id::request_outcome_unknown,
                       {{"decision", decisionId},
                        {"service", service.name},
                        {"upstream", upstream->name},
                        {"reason", failure.displayText()}});
        if (!response.sent())
            refuse(response, 502, "unknown", "the upstream failed; the request may have run\n");
    }
    m_metrics
        .counter("buckthorngrade_requests_total",
                 fmt::format("service=\"{}\",outcome=\"{}\"", service.name, outcome))
        .add();
    m_metrics.summary("buckthorngrade_request_seconds", fmt::format("service=\"{}\"", service.name))
        .add(m_clock.now() - start);
    m_events.write(event_id::request_carried,
                   {{"decision", decisionId},
                    {"service", service.name},
                    {"upstream", upstream->name},
                    {"status", static_cast<int>(response.getStatus())},
                    {"outcome", outcome}});
}

void request_carrier::forward(const service_spec &service, const upstream_spec &upstream,
                              const std::string &path, Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response, opentracing::Span &span)
{
    auto lease = m_pool.take(upstream, service.requestDeadline);
    Poco::Net::HTTPRequest outgoing(request.getMethod(), path, Poco::Net::HTTPMessage::HTTP_1_1);
    copyHeaders(request, outgoing);
    outgoing.setHost(upstream.address);
    outgoing.set("traceparent", traceparentOf(span));
    std::ostream &body = lease.session->sendRequest(outgoing);
    if (request.hasContentLength() || request.getChunkedTransferEncoding())
        copyStream(request.stream(), body);
    Poco::Net::HTTPResponse incoming;
    std::istream &answer = lease.session->receiveResponse(incoming);
    response.setStatusAndReason(incoming.getStatus(), incoming.getReason());
    copyHeaders(incoming, response);
    response.set("Buckthorn-Outcome", "ran");
    std::ostream &out = response.send();
    copyStream(answer, out);
    out.flush();
    if (incoming.getKeepAlive() && answer.eof())
        m_pool.giveBack(std::move(lease));
}

} // namespace buckthorngrade
