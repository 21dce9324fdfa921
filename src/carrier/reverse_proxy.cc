#include "carrier/reverse_proxy.h"

#include "carrier/proxied_request.h"
#include "steering/upstream_placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds shareUpdatePeriod{200};
constexpr std::chrono::milliseconds idleCheckPeriod{1'000};
constexpr std::chrono::milliseconds suppressedReportPeriod{1'000};
// Expected service time of a request as a share of its latency target, until the service has
// responded for the first time.
constexpr double defaultServiceTimeShare = 0.4;
constexpr double meanSmoothing = 0.05; // weight of a new sample in a service's mean
constexpr std::chrono::milliseconds defaultLatencyTarget{500}; // for routes without one
// Estimated network time of a request to another failure domain or region. It is longer than the
// round trip of the request itself, because a connection across failure domains has further costs.
constexpr std::chrono::duration<double, std::milli> crossDomainLatency{8};
constexpr std::chrono::duration<double, std::milli> crossRegionLatency{115};
// Links between regions have low bandwidth and are expensive: sending a large body over one costs
// more than a cold start.
constexpr std::uint64_t largeBodyBytes = 16 * 1024;
constexpr double largeBodyBoost = 8;
constexpr int urgentPriority = 1; // 0 is the highest priority; 0 and 1 are urgent
// Multiples of the latency target.
constexpr double normalAdmissionFactor = 3.0;
constexpr double urgentAdmissionFactor = 4.0;
constexpr double usableTimeoutShare = 0.9;
// A request occupies a slot of its upstream for at least this share of its total time.
constexpr double minRunningShare = 0.3;
// The region shares use only this part of the allowed shift between regions, because requests also
// change region for other reasons.
constexpr double usableShiftShare = 0.33;

// Bounds of the connect timeout. The lower ones are several times the longest round trip, because
// TCP retransmits a lost packet only after a second or more. Handshake packets queue behind bodies
// on the instance's link, so the upper ones add the transmission time of two large uploads.
constexpr std::chrono::milliseconds sameRegionConnectTimeout{150};
constexpr std::chrono::milliseconds crossRegionConnectTimeout{450};
constexpr double connectQueueBytes = 128 << 10;

connect_timeout connectTimeoutWithin(std::chrono::milliseconds networkTimeout,
                                     const node_settings &settings)
{
    const std::chrono::duration<double> queueDelay(connectQueueBytes / settings.linkBytesPerSecond);
    return connect_timeout(networkTimeout, networkTimeout + queueDelay);
}

// Returns the longest expected response time with which a request is still forwarded. A request
// that would take longer uses slots of requests that can meet their latency target. Urgent requests
// are worth more, so their limit is higher.
std::chrono::duration<double, std::milli>
admissionLimit(const route &route, std::chrono::duration<double, std::milli> target)
{
    if (route.priority > urgentPriority)
        return target * normalAdmissionFactor;
    const auto urgentLimit = target * urgentAdmissionFactor;
    if (route.timeout.count() == 0)
        return urgentLimit;
    return std::min(urgentLimit,
                    usableTimeoutShare * std::chrono::duration<double, std::milli>(route.timeout));
}

region_share::limits shareLimits(const node_settings &settings)
{
    region_share::limits result;
    result.step = settings.maxRegionShift * usableShiftShare;
    return result;
}

} // namespace

reverse_proxy::reverse_proxy(event_loop &loop, const node_settings &settings,
                             const proxy_header_names &headerNames, peer_view &peers,
                             event_log &events, metric_registry &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_headerNames(headerNames)
    , m_events(events)
    , m_log(events)
    , m_metrics(metrics)
    , m_responseBudget(maxReceivedBytes)
    , m_upstreams(loop, settings.regionOfDomain, events)
    , m_peers(peers)
    , m_sameRegionConnect(connectTimeoutWithin(sameRegionConnectTimeout, settings))
    , m_crossRegionConnect(connectTimeoutWithin(crossRegionConnectTimeout, settings))
    , m_random(hashOf(settings.name))
{
    loop.runEvery(shareUpdatePeriod, [this] { updateShares(); });
    loop.runEvery(idleCheckPeriod, [this] { m_upstreams.closeIdle(); });
    loop.runEvery(suppressedReportPeriod, [this] { m_log.reportSuppressed(); });
}

reverse_proxy::~reverse_proxy()
{
    // The callbacks of an active request own it, so it would never be freed.
    std::vector<std::shared_ptr<proxied_request>> requests;
    requests.reserve(m_activeRequests.size());
    for (proxied_request *request : m_activeRequests)
        requests.push_back(request->shared_from_this());
    std::ranges::for_each(requests, &proxied_request::abandon);
}

void reverse_proxy::handle(const exchange_pointer &exchange)
{
    std::make_shared<proxied_request>(*this, exchange)->start();
}

void reverse_proxy::recordInvalidRequest(const std::string &reason)
{
    m_metrics.counter("buckthorngrade_invalid_requests_total").add();
    if (m_log.shouldLog(event_id::invalid_request))
        m_log.write(event_id::invalid_request, {{"reason", reason}});
}

void reverse_proxy::recordUndelivered(std::uint64_t bytes)
{
    m_metrics.counter("buckthorngrade_undelivered_responses_total").add();
    if (m_log.shouldLog(event_id::response_undelivered))
        m_log.write(event_id::response_undelivered, {{"bytes", bytes}});
}

void reverse_proxy::setRouting(std::shared_ptr<const route_table> routes)
{
    m_routes = std::move(routes);
}

void reverse_proxy::setEvacuated(std::set<std::string> domains, bool mayHaveMissed)
{
    m_upstreams.setEvacuated(std::move(domains), mayHaveMissed, m_routes.get());
}

void reverse_proxy::setUpstreams(const upstream_listing &listing)
{
    m_upstreams.apply(listing, m_routes.get());
}

void reverse_proxy::setInstances(const std::vector<peer_instance> &instances)
{
    const std::size_t before = m_peers.peers().size();
    if (m_peers.update(instances, boot_clock::now()))
        m_events.write(event_id::instances_changed,
                       {{"before", before},
                        {"instances", m_peers.peers().size()},
                        {"named", instances.size()}});
}

void reverse_proxy::setRegionLoads(const std::vector<wire::region_load> &loads)
{
    m_regionLoads.clear();
    for (const wire::region_load &load : loads)
        m_regionLoads[{load.service(), load.region()}] = load.requests();
}

void reverse_proxy::describeLimits(wire::node_report &report) const
{
    m_limits.describe(m_upstreams, m_loop.now(), report);
}

void reverse_proxy::applyLimits(const wire::node_view &view)
{
    m_limits.apply(view, m_loop.now(), m_upstreams);
}

void reverse_proxy::recordLeaving(const upstream_pointer &upstream)
{
    if (upstream->notices->isLeaving())
        return;
    m_upstreams.recordLeaving(*upstream);
    m_metrics.counter("buckthorngrade_upstreams_taken_out_total", "cause=\"leaving\"").add();
    withdrawUnsent(upstream);
}

void reverse_proxy::recordQuiet(const upstream_pointer &upstream, std::chrono::milliseconds period)
{
    if (!upstream->notices->isQuiet(m_loop.now()))
        m_metrics.counter("buckthorngrade_upstreams_taken_out_total", "cause=\"quiet\"").add();
    m_upstreams.recordQuiet(*upstream, period);
    withdrawUnsent(upstream);
}

void reverse_proxy::withdrawUnsent(const upstream_pointer &upstream)
{
    forEachActiveRequest(
        [upstream](proxied_request &request) { request.withdrawUnsent(upstream); });
}

void reverse_proxy::recordLimit(const upstream_pointer &upstream, std::optional<double> perSecond)
{
    if (m_upstreams.recordLimit(*upstream, perSecond))
        forEachActiveRequest(
            [upstream](proxied_request &request) { request.applyLimit(upstream); });
}

void reverse_proxy::forEachActiveRequest(const std::function<void(proxied_request &)> &action)
{
    // Deferred, because the response of an upstream is being handled.
    m_loop.post([this, action] {
        std::vector<std::shared_ptr<proxied_request>> requests;
        requests.reserve(m_activeRequests.size());
        std::ranges::transform(
            m_activeRequests, std::back_inserter(requests),
            [](proxied_request *request) { return request->shared_from_this(); });
        std::ranges::for_each(
            requests, [&](const std::shared_ptr<proxied_request> &request) { action(*request); });
    });
}

void reverse_proxy::recordServiceTime(upstream_state &upstream, std::chrono::milliseconds time)
{
    upstream.recordServiceTime(time, m_loop.now());
    const auto sample = static_cast<double>(time.count());
    double &mean = stateOf(upstream.listed.service).serviceMs;
    mean = mean == 0 ? sample : mean * (1 - meanSmoothing) + sample * meanSmoothing;
}

reverse_proxy::service_state &reverse_proxy::stateOf(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return found->second;
    const shared_retry_budget::limits budget{m_settings.retryShare, m_settings.retryAllowance,
                                             m_settings.retryWindow};
    return m_services
        .emplace(service,
                 service_state{shared_retry_budget(budget),
                               region_share(m_settings.region, shareLimits(m_settings))})
        .first->second;
}

std::chrono::duration<double, std::milli>
reverse_proxy::networkLatencyTo(const upstream_state &upstream) const
{
    if (upstream.region != m_settings.region)
        return crossRegionLatency;
    if (upstream.listed.failureDomain != m_settings.failureDomain)
        return crossDomainLatency;
    return std::chrono::duration<double, std::milli>(0);
}

connect_timeout &reverse_proxy::connectTimeoutTo(const upstream_state &upstream)
{
    return upstream.region == m_settings.region ? m_sameRegionConnect : m_crossRegionConnect;
}

double reverse_proxy::runningRequests(const upstream_state &upstream) const
{
    const double networkMs = networkLatencyTo(upstream).count();
    const double total = upstream.serviceMs > 0 ? upstream.serviceMs : networkMs;
    // A request occupies no slot while it, or its response, is on the network.
    return upstream.inFlight * std::max(minRunningShare, 1 - networkMs / std::max(total, 1.0));
}

std::vector<wire::region_load> reverse_proxy::ownLoads() const
{
    std::map<std::pair<std::string, std::string>, double> loads;
    for (const auto &[id, upstream] : m_upstreams.all())
        if (upstream->inFlight > 0)
            loads[{upstream->listed.service, upstream->region}] += runningRequests(*upstream);
    std::vector<wire::region_load> result;
    for (const auto &[key, requests] : loads) {
        wire::region_load &added = result.emplace_back();
        added.set_service(key.first);
        added.set_region(key.second);
        added.set_requests(requests);
    }
    return result;
}

void reverse_proxy::updateShares()
{
    if (!m_routes || m_upstreams.isEmpty())
        return;
    for (const routed_service &service : m_routes->document().services) {
        std::map<std::string, region_state> regions;
        std::map<std::string, double> own;
        for (const upstream_state *upstream : m_upstreams.usable(service.name, m_loop.now())) {
            regions[upstream->region].slots += upstream->usableSlots(
                serviceTimeOf(*upstream, m_loop.now(), defaultLatencyTarget));
            own[upstream->region] += runningRequests(*upstream);
        }
        for (const peer_instance &instance : m_peers.peers())
            if (const auto region = regions.find(instance.region); region != regions.end())
                region->second.entries += 1;
        for (auto &[region, state] : regions) {
            const auto shared = m_regionLoads.find({service.name, region});
            const double requests
                = std::max(own[region], shared != m_regionLoads.end() ? shared->second : 0.0);
            state.utilization = requests / state.slots;
        }
        service_state &state = stateOf(service.name);
        if (!state.share.update(regions, m_loop.now()))
            continue;
        for (const auto &[region, share] : state.share.shares())
            m_events.write(event_id::region_share_changed,
                           {{"service", service.name},
                            {"region", region},
                            {"share", share},
                            {"utilization", regions[region].utilization},
                            {"own_utilization", regions[m_settings.region].utilization}});
    }
}

std::size_t reverse_proxy::retryAllowanceSharers() const
{
    return m_peers.mayUseShares(boot_clock::now(), m_settings.retryWindow) ? m_peers.peers().size()
                                                                           : 0;
}

double reverse_proxy::coldLimit(const upstream_state &upstream) const
{
    const routed_service *service
        = m_routes ? m_routes->findService(upstream.listed.service) : nullptr;
    if (service == nullptr || service->coldRate <= 0)
        return 0;
    return service->coldRate * m_settings.coldOverage + m_settings.coldAllowance;
}

reverse_proxy::rate_shares reverse_proxy::sharesOf(upstream_state &upstream, steady_time now,
                                                   bool mayUseColdShares)
{
    const routed_service *service
        = m_routes ? m_routes->findService(upstream.listed.service) : nullptr;
    rate_shares result;
    if (upstream.isCold(now,
                        service == nullptr ? std::chrono::milliseconds(0) : service->coldPeriod))
        result.cold = mayUseColdShares
            ? coldStartShare(m_peers.peers(), m_settings.name, upstream.listed.id, upstream.region,
                             coldLimit(upstream))
            : rate_share{};
    result.limit = limitShare(upstream, now);
    return result;
}

std::optional<rate_share> reverse_proxy::limitShare(upstream_state &upstream, steady_time now)
{
    const auto limit = upstream.notices->requestLimit();
    if (!limit)
        return std::nullopt;
    // Computing the rank takes time that grows with the number of instances, so it is kept.
    if (upstream.limitRankRevision != m_peers.revision()) {
        upstream.limitRankRevision = m_peers.revision();
        upstream.limitRank
            = shareRank(m_peers.peers(), m_settings.name, upstream.listed.id, upstream.region);
    }
    if (!upstream.limitRank || !m_peers.hasJoined())
        return rate_share{};
    const std::size_t instances = m_peers.peers().size();
    const rate_share share = requestLimitShare(*limit, instances, *upstream.limitRank);
    if (share.requests > 0)
        return share;
    const rate_share probe = limitProbeShare(*limit, instances, *upstream.limitRank);
    return now - upstream.notices->limitObservedAt() >= probe.interval ? probe : share;
}

rate_permit reverse_proxy::tryReserveLimit(upstream_state &upstream, steady_time now)
{
    const auto share = limitShare(upstream, now);
    if (!share || !upstream.limitGate->tryReserve(now, *share))
        return {};
    return {upstream.limitGate, *share};
}

std::chrono::duration<double, std::milli>
reverse_proxy::serviceTimeOf(const upstream_state &upstream, steady_time now,
                             std::chrono::duration<double, std::milli> latencyTarget)
{
    if (upstream.isServiceTimeKnown(now))
        return std::chrono::duration<double, std::milli>(upstream.serviceMs);
    // An upstream without a recent response is assumed to be as fast as the service's mean. A lower
    // estimate would draw requests away from upstreams that have their objects cached.
    const double mean = stateOf(upstream.listed.service).serviceMs;
    return mean > 0 ? std::chrono::duration<double, std::milli>(mean)
                    : latencyTarget * defaultServiceTimeShare;
}

reverse_proxy::choice reverse_proxy::choose(const route &route, const std::string &service,
                                            const std::optional<std::uint64_t> &affinity,
                                            std::uint64_t bodyBytes,
                                            const std::set<std::string> &excluded)
{
    const steady_time now = m_loop.now();
    std::vector<upstream_state *> usable = m_upstreams.usable(service, now);
    std::erase_if(usable, [&](const upstream_state *upstream) {
        return excluded.contains(upstream->listed.id)
            || (!route.homeRegions.empty()
                && std::ranges::find(route.homeRegions, upstream->region)
                    == route.homeRegions.end());
    });
    if (usable.empty())
        return {.upstream = nullptr,
                .reason = m_upstreams.nextAvailable(service, now)
                    ? "upstreams take none for a while"
                    : "no usable upstream"};
    const bool mayUseColdShares = m_peers.mayUseShares(boot_clock::now());
    std::map<const upstream_state *, rate_shares> shares;
    bool isAnyAtLimit = false;
    std::erase_if(usable, [&](upstream_state *upstream) {
        const rate_shares found = sharesOf(*upstream, now, mayUseColdShares);
        if (!found.cold && !found.limit)
            return false;
        shares.emplace(upstream, found);
        const bool isAtLimit = found.limit && !upstream->limitGate->hasCapacity(now, *found.limit);
        isAnyAtLimit = isAnyAtLimit || isAtLimit;
        return isAtLimit || (found.cold && !upstream->coldGate->hasCapacity(now, *found.cold));
    });
    if (usable.empty())
        return {.upstream = nullptr,
                .reason
                = isAnyAtLimit ? "upstreams are at their request limits" : "only cold upstreams"};

    const std::uint64_t random = m_random();
    const std::string &region = stateOf(service).share.choose(
        affinity.value_or(random), bodyBytes > largeBodyBytes ? largeBodyBoost : 1);
    const auto isOutsideChosenRegion
        = [&](const upstream_state *upstream) { return upstream->region != region; };
    const auto isOutsideOwnRegion
        = [&](const upstream_state *upstream) { return upstream->region != m_settings.region; };
    if (!std::ranges::all_of(usable, isOutsideChosenRegion))
        std::erase_if(usable, isOutsideChosenRegion);
    else if (!std::ranges::all_of(usable, isOutsideOwnRegion))
        std::erase_if(usable, isOutsideOwnRegion);

    const placement_request request{affinity, random,
                                    route.latencyTarget.count() > 0 ? route.latencyTarget
                                                                    : defaultLatencyTarget};
    std::vector<placement_candidate> candidates;
    candidates.reserve(usable.size());
    for (const upstream_state *upstream : usable) {
        placement_candidate &candidate = candidates.emplace_back();
        candidate.hash = upstream->hash;
        candidate.slots = std::max(1U, upstream->listed.slots);
        candidate.load = upstream->estimatedLoad(now);
        candidate.serviceTime = serviceTimeOf(*upstream, now, request.latencyTarget);
        candidate.failureShare = upstream->estimatedFailureShare(now);
        candidate.isWarm = affinity && upstream->isWarmFor(*affinity, now);
        candidate.roundTrip = networkLatencyTo(*upstream);
    }
    placement placed = placeRequest(candidates, request).value();
    // The first request after a quiet period shows whether the upstream is back, and one to a
    // limited upstream whether its limit still holds. Otherwise it would get none as long as the
    // others are faster.
    const auto checked = std::ranges::find_if(usable, [now](const upstream_state *upstream) {
        return upstream->notices->isReturning(now) || upstream->notices->needsLimitCheck(now);
    });
    if (checked != usable.end()) {
        placed.index = static_cast<std::size_t>(checked - usable.begin());
        placed.isFirst = false;
    }
    upstream_state *chosen = usable[placed.index];
    // If the upstream has no queue, a long expected time is the service time itself, and refusing
    // requests would not shorten it.
    if (placed.isFull && placed.expected > admissionLimit(route, request.latencyTarget))
        return {.upstream = nullptr, .reason = "overloaded"};
    if (m_stopTime && now + placed.expected > *m_stopTime)
        return {.upstream = nullptr, .reason = "stopping"};
    const rate_shares &chosenShares = shares[chosen];
    rate_permit coldPermit;
    if (chosenShares.cold && chosen->coldGate->tryReserve(now, *chosenShares.cold))
        coldPermit = rate_permit(chosen->coldGate, *chosenShares.cold);
    return {.upstream = m_upstreams.find(chosen->listed.id),
            .isFirst = placed.isFirst,
            .isWarm = candidates[placed.index].isWarm,
            .coldPermit = std::move(coldPermit),
            .limitPermit = tryReserveLimit(*chosen, now),
            .load = candidates[placed.index].load,
            .expected = placed.expected};
}

} // namespace buckthorngrade
