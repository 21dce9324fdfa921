#include "carrier/entry_node.h"

#include "base/ipv4.h"

#include <algorithm>
#include <random>

namespace buckthorngrade {

namespace {

// Callers may use the cached response of the directory until it expires, which is before this time.
// Requests that arrive later might not finish within the stop limit.
constexpr std::chrono::milliseconds rejectRequestsDelay{2'800};
constexpr std::chrono::milliseconds stopCheckPeriod{50};
constexpr std::chrono::milliseconds stopMargin{500}; // left before the process would be killed
// A body of this size takes 33 ms on a link of 2 Mbit/s. Longer bodies are streamed to the
// upstream, so that they don't take that time twice.
constexpr std::uint64_t streamingThresholdBytes = 8U << 10;
// A body crosses the link twice, in and out, so streaming uses twice this share of the link.
constexpr double bodyShareOfLink = 0.45;
// The list is confirmed about every 2 s: it is read every 0.7 s, copied by the other control
// instances within 0.6 s, and polled within 1.2 s.
constexpr std::chrono::milliseconds maxListingAge{3'000};
// Two round trips between regions, and the time to send a document over a busy link.
constexpr std::chrono::milliseconds routingRetryDelay{300};
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int unavailable = 503;

std::uint64_t newIncarnation()
{
    // Later processes get higher numbers, and microsecond resolution makes each restart distinct.
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

} // namespace

entry_node::entry_node(event_loop &loop, node_settings settings,
                       const proxy_header_names &headerNames, const routing_codec &codec,
                       event_log &events, metric_registry &metrics)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_codec(codec)
    , m_events(events)
    , m_peers(m_settings.name)
    , m_proxy(loop, m_settings, headerNames, m_peers, events, metrics)
    , m_control(
          loop, m_settings.replicaPort(), events,
          [this](const std::string &host, const wire::node_view &view) { applyView(host, view); })
    , m_incarnation(newIncarnation())
    , m_schedule(m_incarnation)
    , m_detailsHost(m_settings.host)
{
    http_server_options options;
    options.streamingThresholdBytes = streamingThresholdBytes;
    options.bodyBytesPerSecond = bodyShareOfLink * m_settings.linkBytesPerSecond;
    options.onInvalid = [this](const std::string &reason) { m_proxy.recordInvalidRequest(reason); };
    options.onUndelivered = [this](std::uint64_t bytes) { m_proxy.recordUndelivered(bytes); };
    m_server = std::make_unique<http_server>(
        loop, socket_address::parse(m_settings.entryAddress), options,
        [this](const exchange_pointer &exchange) { m_proxy.handle(exchange); });
    m_readyServer = std::make_unique<http_server>(
        loop, socket_address::parse(m_settings.readyAddress), http_server_options(),
        [this](const exchange_pointer &exchange) {
            if (!exchange->head.target.ends_with("/ready"))
                exchange->respond(notFound, {}, "");
            else
                exchange->respond(isReady() ? ok : unavailable, {}, "");
        });
    metrics.gauge("buckthorngrade_buffered_body_bytes", "",
                  [this] { return static_cast<double>(m_server->bufferedBytes()); });
    metrics.gauge("buckthorngrade_unsent_response_bytes", "",
                  [this] { return static_cast<double>(m_server->unsentBytes()); });
    reload(m_settings);
    poll();
}

void entry_node::reload(const node_settings &settings)
{
    m_settings.seedHosts = settings.seedHosts;
    std::set<std::string> hosts(m_settings.seedHosts.begin(), m_settings.seedHosts.end());
    hosts.insert(m_voterHosts.begin(), m_voterHosts.end());
    m_control.setHosts(hosts);
}

wire::node_report entry_node::report() const
{
    wire::node_report result;
    result.set_instance(m_settings.name);
    result.set_incarnation(m_incarnation);
    result.set_entry_address(m_settings.entryAddress);
    result.set_region(m_settings.region);
    result.set_failure_domain(m_settings.failureDomain);
    result.set_ready(m_isReady);
    result.set_period_ms(m_schedule.period().count());
    result.set_leaving(m_isStopping);
    if (m_routingVersion)
        result.set_routing_version(*m_routingVersion);
    result.set_evacuation_revision(m_evacuations.revision());
    m_listing.describe(m_loop.now(), result);
    for (wire::region_load &load : m_proxy.ownLoads())
        *result.add_loads() = std::move(load);
    m_proxy.describeLimits(result);
    return result;
}

void entry_node::sendReports()
{
    const steady_time now = m_loop.now();
    m_control.poll(report(),
                   m_detailsHost.select(m_control.respondingHosts(),
                                        m_listing.isRecent(now, maxListingAge), now));
}

void entry_node::poll()
{
    sendReports();
    m_loop.runAfter(m_schedule.nextDelay(), [this] { poll(); });
}

void entry_node::applyView(const std::string &host, const wire::node_view &view)
{
    m_respondedHosts.insert(host);
    // A control instance without a leader may have been removed from the group, and then names
    // members that were replaced.
    if (view.voters_size() > 0 && (view.has_leader() || m_voterHosts.empty())) {
        m_voterHosts.clear();
        std::ranges::transform(view.voters(), std::inserter(m_voterHosts, m_voterHosts.end()),
                               ipv4ToString);
        reload(m_settings);
    }
    applyRouting(view, host);
    applyEvacuations(view);
    if (m_listing.apply(view, m_loop.now()))
        m_proxy.setUpstreams(m_listing.listing());
    m_proxy.applyLimits(view);
    if (view.has_leader() && view.entries_size() > 0) {
        std::vector<peer_instance> instances;
        for (const wire::node_entry &entry : view.entries())
            instances.push_back({entry.instance(), entry.region()});
        m_proxy.setInstances(instances);
        m_schedule.setInstanceCount(m_peers.peers().size());
        m_proxy.setRegionLoads({view.loads().begin(), view.loads().end()});
    }
    updateReadiness();
}

void entry_node::applyRouting(const wire::node_view &view, const std::string &host)
{
    if (!view.has_routing_version() || view.routing_version() <= m_routingVersion)
        return;
    if (view.routing_text().empty()) {
        // All control instances name the new version at about the same time, and one has to send
        // it.
        const steady_time now = m_loop.now();
        if (m_requestedRouting == view.routing_version()
            && now - m_routingRequestedAt < routingRetryDelay)
            return;
        m_requestedRouting = view.routing_version();
        m_routingRequestedAt = now;
        // Requests the document once the current call has ended.
        m_loop.post([this, host] { m_control.requestRouting(report(), host); });
        return;
    }
    try {
        auto routes = std::make_shared<const route_table>(decodeRouting(view.routing_text()));
        m_routingVersion = view.routing_version();
        const request_limits &limits = routes->document().limits;
        http_server_options options = m_server->options();
        options.headTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
        options.maxBodyBytes = limits.maxBodyBytes;
        m_server->setOptions(options);
        m_events.write(event_id::routing_applied,
                       {{"version", view.routing_version()},
                        {"routes", routes->document().routes.size()},
                        {"from", host}});
        m_proxy.setRouting(std::move(routes));
    } catch (const settings_error &failure) {
        m_events.write(event_id::routing_unreadable,
                       {{"version", view.routing_version()}, {"reason", failure.what()}});
    }
}

routing_document entry_node::decodeRouting(const std::string &text)
{
    try {
        routing_document document = m_codec.decodeNew(text);
        checkRouting(document);
        return document;
    } catch (const settings_error &fault) {
        // The document was accepted by a release that did not check for this. Without it, no
        // request would be served.
        routing_document document = m_codec.decode(text);
        m_events.write(event_id::routing_invalid,
                       {{"version", document.version}, {"reason", fault.what()}});
        return document;
    }
}

void entry_node::applyEvacuations(const wire::node_view &view)
{
    auto change = m_evacuations.apply(view, boot_clock::now());
    if (!change)
        return;
    m_events.write(event_id::evacuations_applied,
                   {{"revision", m_evacuations.revision()},
                    {"domains", change->domains.size()},
                    {"may_have_missed", change->mayHaveMissed}});
    m_proxy.setEvacuated(std::move(change->domains), change->mayHaveMissed);
}

void entry_node::updateReadiness()
{
    if (m_isReady)
        return;
    const auto respondedVoters = static_cast<std::size_t>(std::ranges::count_if(
        m_voterHosts, [this](const std::string &host) { return m_respondedHosts.contains(host); }));
    if (respondedVoters * 2 <= m_voterHosts.size() || !m_routingVersion || m_listing.isEmpty())
        return;
    m_isReady = true;
    m_schedule.setReady();
    m_events.write(event_id::readiness_changed,
                   {{"ready", true}, {"version", *m_routingVersion}, {"control", respondedVoters}});
    sendReports();
}

void entry_node::stop(std::function<void()> onStopped)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_onStopped = std::move(onStopped);
    m_server->announceStop();
    sendReports();
    const steady_time since = m_loop.now();
    m_proxy.setStopTime(since + m_settings.stopLimit - stopMargin);
    m_loop.runAfter(rejectRequestsDelay, [this, since] {
        m_proxy.rejectNewRequests();
        m_server->stopAccepting();
        m_server->closeIdle();
        checkStopped(since);
    });
}

void entry_node::checkStopped(steady_time since)
{
    const bool isLimitReached = m_loop.now() - since >= m_settings.stopLimit - stopMargin;
    if (!m_server->owesResponses() || isLimitReached) {
        m_onStopped();
        return;
    }
    m_loop.runAfter(stopCheckPeriod, [this, since] { checkStopped(since); });
}

} // namespace buckthorngrade
