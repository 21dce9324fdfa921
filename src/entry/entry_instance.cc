#include "entry/entry_instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace buckthorngrade {

namespace {

// Requests of callers whose lookup result has just expired may still be on their way.
constexpr std::chrono::milliseconds lookupExpiryMargin{2'000};

// Entry instances store nothing on disk, so the start time orders the incarnations of an instance.
std::uint64_t makeIncarnation(const clock_source &clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch())
            .count());
}

std::vector<std::unique_ptr<service_balancer>>
makeBalancers(const settings &config, const config_source &source, slot_table &slotTable,
              const link_rate_limiter &linkLimiter, const clock_source &clock)
{
    std::vector<std::unique_ptr<service_balancer>> result;
    for (std::size_t i = 0; i < config.deployment.services.size(); ++i)
        result.push_back(
            std::make_unique<service_balancer>(config, i, source, slotTable, linkLimiter, clock));
    return result;
}

http_listener_options listenerOptions(const settings &config, event_log &events)
{
    http_listener_options options;
    options.maxConnections = config.entry.maxConnections;
    options.idleTimeout = config.entry.idleTimeout;
    options.readTimeout = config.entry.headTimeout;
    options.onInvalid = [&events](const std::string &reason) {
        events.write(event_id::invalid_request, {{"reason", reason}});
    };
    return options;
}

} // namespace

entry_instance::entry_instance(const settings &config, const clock_source &clock, event_log &events,
                               metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_incarnation(makeIncarnation(clock))
    , m_locator(config.deployment)
    , m_slotTable(config.deployment)
    , m_linkLimiter(config, clock)
    , m_decisions(config.instance, clock)
    , m_balancers(makeBalancers(config, m_store, m_slotTable, m_linkLimiter, clock))
    , m_channels(config)
    , m_feed(config, m_incarnation, m_channels, m_store, m_leader, events)
    , m_freshnessClient(config, m_channels, m_feed, m_store, m_leader, clock, events,
                        [this](steady_time provenAt) {
                            const steady_time now = m_clock.now();
                            m_slotTable.renewByProof(provenAt, now);
                            for (const auto &balancer : m_balancers)
                                balancer->renewByProof(provenAt, now);
                        })
    , m_reports(config, m_incarnation, m_channels, m_leader, m_freshnessClient, m_store,
                {m_directory, m_slotTable, m_linkLimiter, m_pool, m_balancers}, clock, events,
                metrics, tracer)
    , m_claims(config, m_incarnation, m_channels, m_leader, clock, events, metrics, tracer)
    , m_loadPoller(m_balancers, m_pool, events, metrics)
    , m_lookups(
          config, m_store, m_directory, m_freshnessClient, m_locator, m_balancers, m_decisions,
          [this] { return m_reports.isLeaving(); }, clock, events, metrics, tracer)
    , m_forwarder(config, m_store, m_balancers, m_claims, m_decisions, m_linkLimiter, m_pool,
                  m_locator, clock, events, metrics, tracer)
    , m_status({config, m_store, m_directory, m_freshnessClient, m_reports, m_leader, m_slotTable,
                m_claims, m_decisions, m_balancers, clock},
               m_incarnation)
    , m_server(config, m_lookups, m_forwarder, m_decisions, m_status, metrics, tracer)
    , m_listener(config.entry.httpAddress, m_server, listenerOptions(config, events))
{
    registerMetrics(metrics);
}

void entry_instance::registerMetrics(metric_registry &metrics)
{
    metrics.gauge("buckthorngrade_revision", "",
                  [this] { return static_cast<double>(m_store.current()->revision); });
    metrics.gauge("buckthorngrade_requests_in_flight", "",
                  [this] { return static_cast<double>(m_slotTable.totalInFlight()); });
    metrics.gauge("buckthorngrade_connections", "",
                  [this] { return static_cast<double>(m_listener.openConnections()); });
    metrics.gauge("buckthorngrade_claim_outcomes_pending", "",
                  [this] { return static_cast<double>(m_claims.pending()); });
    metrics.gauge("buckthorngrade_is_current", "", [this] {
        return m_freshnessClient.decide().state == freshness::current ? 1.0 : 0.0;
    });
    for (std::size_t s = 0; s < m_balancers.size(); ++s) {
        const service_spec &service = m_balancers[s]->spec();
        for (std::size_t u = 0; u < service.upstreams.size(); ++u) {
            const std::string labels
                = fmt::format("service=\"{}\",upstream=\"{}\"", escapeLabel(service.name),
                              escapeLabel(service.upstreams[u].name));
            metrics.gauge("buckthorngrade_upstream_in_flight", labels, [this, s, u] {
                return static_cast<double>(m_slotTable.usageOf(s, m_clock.now())[u].inFlight);
            });
            metrics.gauge("buckthorngrade_upstream_slots", labels, [this, s, u] {
                return static_cast<double>(m_slotTable.usageOf(s, m_clock.now())[u].allowed);
            });
        }
    }
}

std::chrono::milliseconds entry_instance::longestLookupLifetime() const
{
    const auto config = m_store.current();
    std::chrono::milliseconds longest{0};
    for (const auto &balancer : m_balancers)
        longest = std::max(
            longest, std::min(balancer->activeProfile(*config).lookupLifetime, maxLookupLifetime));
    return longest;
}

bool entry_instance::drain(const std::function<bool()> &waitSecond)
{
    const steady_time start = m_clock.now();
    m_reports.setLeaving();
    m_listener.announceStop();
    const auto lookupEnd = start + longestLookupLifetime() + lookupExpiryMargin;
    m_events.write(event_id::drain_started,
                   {{"requests", m_listener.activeRequests()},
                    {"limit_ms", m_settings.entry.drainLimit.count()}});
    bool isCutShort = false;
    while (!isCutShort && m_clock.now() < lookupEnd) {
        m_events.write(event_id::drain_waiting,
                       {{"for", "cached lookups"}, {"requests", m_listener.activeRequests()}});
        isCutShort = waitSecond();
    }
    m_listener.stopAccepting();
    const steady_time end = m_clock.now() + m_settings.entry.drainLimit;
    const auto isIdle = [&] { return m_listener.activeRequests() == 0 && m_claims.pending() == 0; };
    while (!isCutShort && !isIdle() && m_clock.now() < end) {
        m_events.write(event_id::drain_waiting,
                       {{"for", "requests in flight"},
                        {"requests", m_listener.activeRequests()},
                        {"at_upstreams", m_slotTable.totalInFlight()},
                        {"outcomes_to_record", m_claims.pending()}});
        isCutShort = waitSecond();
    }
    const std::uint32_t unfinishedRequests = m_listener.activeRequests();
    if (unfinishedRequests > 0)
        m_events.write(event_id::drain_cut_off,
                       {{"requests", unfinishedRequests}, {"second_signal", isCutShort}});
    const auto elapsed = m_clock.now() - start;
    m_metrics.summary("buckthorngrade_drain_seconds").add(elapsed);
    m_events.write(
        event_id::process_stopped,
        {{"drain_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()},
         {"requests_cut_off", unfinishedRequests}});
    return unfinishedRequests == 0;
}

} // namespace buckthorngrade
