#include "carrier/upstream_table.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

using real_seconds = std::chrono::duration<double>;

// Decay time of the load from other instances that the upstream reported; it is of the order of the
// duration of a request.
constexpr real_seconds otherInstancesLoadDecayTime{1.0};
// Applies while there are no new attempts.
constexpr real_seconds failureShareDecayTime{2.0};
constexpr std::chrono::seconds serviceTimeValidity{4}; // the estimate expires without new responses
constexpr double smoothingFactor = 0.2; // weight of a new sample
constexpr std::chrono::milliseconds initialEjection{400};
constexpr std::chrono::milliseconds maxEjection{3'000};
constexpr unsigned maxDoublings = 3;
// Upstreams close idle connections after 10 s. The difference is a margin for network delays.
constexpr std::chrono::milliseconds maxIdleTime{6'000};
constexpr std::chrono::milliseconds idleMargin{1'000};
// The listed remaining cold time is off by up to the lag of the list; a trace showed it 200 ms too
// short.
constexpr std::chrono::milliseconds coldMargin{500};
// An upstream may have evicted an object that was not requested for this time.
constexpr std::chrono::seconds warmLifetime{10};
// Lower bound of usableSlots(), so that a region's utilization stays finite for a limit of 0.
constexpr double minUsableSlots = 0.05;
constexpr std::size_t maxHandledObjects = 1'024; // per upstream
constexpr std::size_t maxIdleConnections = 16; // per upstream
// Time for which the notices of a process that is no longer listed are kept.
constexpr std::chrono::minutes noticeRetention{10};

std::int64_t remainingMs(steady_time until, steady_time now)
{
    if (until == steady_time::min())
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
}

double decayFactor(steady_time since, steady_time now, real_seconds decayTime)
{
    if (since == steady_time::min())
        return 0;
    return std::exp(-real_seconds(now - since) / decayTime);
}

} // namespace

unavailability upstream_state::whyUnavailable(steady_time now, bool isEvacuated) const
{
    if (listed.isDraining)
        return unavailability::draining;
    if (notices->isLeaving())
        return unavailability::leaving;
    if (isReplaced)
        return unavailability::replaced;
    if (isEvacuated)
        return unavailability::evacuated;
    if (notices->isQuiet(now))
        return unavailability::quiet;
    if (notices->isReturning(now) && inFlight > 0)
        return unavailability::returning;
    if (now < ejectedUntil)
        return unavailability::unreachable;
    return unavailability::none;
}

double upstream_state::estimatedLoad(steady_time now) const
{
    const double otherInstancesLoad = std::max(0.0, reportedLoad - inFlightAtReport);
    return inFlight
        + otherInstancesLoad * decayFactor(reportedAt, now, otherInstancesLoadDecayTime);
}

double upstream_state::estimatedFailureShare(steady_time now) const
{
    return failureShare * decayFactor(failureShareAt, now, failureShareDecayTime);
}

double upstream_state::usableSlots(std::chrono::duration<double, std::milli> serviceTime) const
{
    const double slots = std::max(1U, listed.slots);
    const auto limit = notices->requestLimit();
    return limit ? std::clamp(*limit * real_seconds(serviceTime).count(), minUsableSlots, slots)
                 : slots;
}

bool upstream_state::isServiceTimeKnown(steady_time now) const
{
    return serviceMs > 0 && now - serviceMsAt < serviceTimeValidity;
}

bool upstream_state::isWarmFor(std::uint64_t object, steady_time now) const
{
    const auto found = handledObjects.find(object);
    return found != handledObjects.end() && now - found->second < warmLifetime;
}

void upstream_state::recordHandled(std::uint64_t object, steady_time now)
{
    if (handledObjects.size() >= maxHandledObjects)
        std::erase_if(handledObjects,
                      [now](const auto &item) { return now - item.second >= warmLifetime; });
    if (handledObjects.size() < maxHandledObjects || handledObjects.contains(object))
        handledObjects[object] = now;
}

void upstream_state::recordOutcome(bool failed, steady_time now)
{
    failureShare
        = estimatedFailureShare(now) * (1 - smoothingFactor) + (failed ? smoothingFactor : 0);
    failureShareAt = now;
    if (!failed)
        connectFailures = 0;
}

void upstream_state::recordServiceTime(std::chrono::milliseconds time, steady_time now)
{
    const auto sample = static_cast<double>(time.count());
    serviceMs
        = serviceMs == 0 ? sample : serviceMs * (1 - smoothingFactor) + sample * smoothingFactor;
    serviceMsAt = now;
}

void upstream_state::recordLoad(double running, double waiting, steady_time now)
{
    reportedLoad = running + waiting;
    inFlightAtReport = inFlight;
    reportedAt = now;
}

void upstream_state::recordUnreachable(steady_time now)
{
    const unsigned doublings = std::min(connectFailures, maxDoublings);
    ++connectFailures;
    ejectedUntil = now + std::min(maxEjection, initialEjection * (1U << doublings));
}

upstream_table::upstream_table(event_loop &loop, std::map<std::string, std::string> regionOfDomain,
                               event_log &events)
    : m_loop(loop)
    , m_regionOfDomain(std::move(regionOfDomain))
    , m_events(events)
{ }

void upstream_table::apply(const upstream_listing &listing, const route_table *routes)
{
    std::map<std::string, upstream_pointer> next;
    for (const listed_upstream &listed : listing.upstreams) {
        // A process that restarted under the same id has lost its state.
        const auto known = m_upstreams.find(listed.id);
        const bool isSame = known != m_upstreams.end()
            && known->second->listed.startedMs == listed.startedMs
            && known->second->listed.address == listed.address
            && known->second->listed.service == listed.service;
        upstream_pointer state = isSame ? known->second : std::make_shared<upstream_state>();
        if (!isSame) {
            try {
                state->address = socket_address::parse(listed.address);
            } catch (const net_error &failure) {
                m_events.write(event_id::listing_unavailable,
                               {{"upstream", listed.id}, {"reason", failure.what()}});
                continue;
            }
            state->hash = hashOf(listed.id);
            std::shared_ptr<shared_rate_limiter> &gate = m_coldGates[listed.id];
            if (!gate)
                gate = std::make_shared<shared_rate_limiter>();
            state->coldGate = gate;
            const lifetime_notices &lifetime = m_notices[{listed.id, listed.startedMs}];
            state->notices = lifetime.notices;
            state->limitGate = lifetime.limitGate;
            const auto region = m_regionOfDomain.find(listed.failureDomain);
            state->region = region == m_regionOfDomain.end() ? "" : region->second;
        }
        m_notices[{listed.id, listed.startedMs}].listedAt = m_loop.now();
        const bool wasDraining = isSame && state->listed.isDraining;
        state->listed = listed;
        if (listed.coldFor.count() > 0)
            extendCold(*state, listing.readAt + listed.coldFor + coldMargin, "listed as cold");
        else if (!isSame && !m_upstreams.empty()) {
            const routed_service *service
                = routes == nullptr ? nullptr : routes->findService(listed.service);
            if (service != nullptr)
                extendCold(*state, listing.readAt + service->coldPeriod + coldMargin,
                           "new in the list");
        }
        if (!isSame || wasDraining != listed.isDraining)
            m_events.write(
                event_id::upstream_listed,
                {{"upstream", listed.id},
                 {"service", listed.service},
                 {"domain", listed.failureDomain},
                 {"address", listed.address},
                 {"draining", listed.isDraining},
                 {"cold_ms",
                  std::max<std::int64_t>(0, remainingMs(state->coldUntil, m_loop.now()))},
                 {"started_ms", listed.startedMs}});
        next.emplace(listed.id, std::move(state));
    }
    for (const auto &[id, state] : m_upstreams)
        if (!next.contains(id))
            m_events.write(event_id::upstream_gone, {{"upstream", id}});
    m_upstreams = std::move(next);
    std::erase_if(m_notices, [this](const auto &item) {
        return m_loop.now() - item.second.listedAt > noticeRetention;
    });
    m_byService.clear();
    for (const auto &[id, state] : m_upstreams)
        m_byService[state->listed.service].push_back(state.get());
    m_events.write(event_id::upstreams_applied,
                   {{"upstreams", m_upstreams.size()},
                    {"draining", std::ranges::count_if(m_upstreams, [](const auto &item) {
                         return item.second->listed.isDraining;
                     })}});
}

void upstream_table::setEvacuated(std::set<std::string> domains, bool mayHaveMissed,
                                  const route_table *routes)
{
    const steady_time now = m_loop.now();
    for (const auto &[id, state] : m_upstreams) {
        const std::string &domain = state->listed.failureDomain;
        const bool hasEnded = mayHaveMissed || m_evacuated.contains(domain);
        if (!hasEnded || domains.contains(domain))
            continue;
        const routed_service *service
            = routes == nullptr ? nullptr : routes->findService(state->listed.service);
        if (service != nullptr)
            extendCold(*state, now + service->coldPeriod,
                       mayHaveMissed ? "an evacuation may have ended" : "evacuation ended");
    }
    m_evacuated = std::move(domains);
}

void upstream_table::extendCold(upstream_state &upstream, steady_time until, const char *reason)
{
    const steady_time now = m_loop.now();
    if (until <= upstream.coldUntil)
        return;
    const bool wasCold = now < upstream.coldUntil;
    upstream.coldUntil = until;
    upstream.coldReason = reason;
    if (!wasCold && now < until)
        m_events.write(event_id::upstream_cold,
                       {{"upstream", upstream.listed.id},
                        {"reason", reason},
                        {"cold_ms", remainingMs(until, now)},
                        {"started_ms", upstream.listed.startedMs}});
}

std::vector<upstream_state *> upstream_table::usable(const std::string &service,
                                                     steady_time now) const
{
    std::vector<upstream_state *> result;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return result;
    std::ranges::copy_if(found->second, std::back_inserter(result), [&](const auto *state) {
        return state->whyUnavailable(now, isEvacuated(*state)) == unavailability::none;
    });
    return result;
}

std::optional<steady_time> upstream_table::nextAvailable(const std::string &service,
                                                         steady_time now) const
{
    std::optional<steady_time> result;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return result;
    for (const upstream_state *state : found->second) {
        const unavailability why = state->whyUnavailable(now, isEvacuated(*state));
        if (why != unavailability::quiet && why != unavailability::unreachable)
            continue;
        const steady_time at
            = why == unavailability::quiet ? state->notices->quietUntil() : state->ejectedUntil;
        result = std::min(at, result.value_or(at));
    }
    return result;
}

upstream_pointer upstream_table::find(const std::string &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : found->second;
}

std::unique_ptr<http_client> upstream_table::takeIdle(upstream_state &upstream,
                                                      std::chrono::milliseconds maxIdle)
{
    while (!upstream.idle.empty()) {
        upstream_state::idle_connection first = std::move(upstream.idle.front());
        upstream.idle.pop_front();
        const auto announced = first.client->serverIdleTimeout();
        auto limit = std::min(maxIdle, maxIdleTime);
        if (announced && *announced > idleMargin)
            limit = std::min(limit, *announced - idleMargin);
        if (first.client->isReusable() && m_loop.now() - first.since <= limit) {
            first.client->onIdleClosed = [](bool) {};
            return std::move(first.client);
        }
        // Defers the destruction, because a callback of the connection may be on the call stack.
        m_loop.post([closed = std::shared_ptr<http_client>(std::move(first.client))] {});
    }
    return nullptr;
}

void upstream_table::keepIdle(const upstream_pointer &upstream, std::unique_ptr<http_client> client)
{
    if (upstream->idle.size() >= maxIdleConnections || !client->isReusable()) {
        m_loop.post([closed = std::shared_ptr<http_client>(std::move(client))] {});
        return;
    }
    const steady_time since = m_loop.now();
    client->onIdleClosed
        = [this, weak = std::weak_ptr(upstream), since, idle = client.get()](bool isByServer) {
              const upstream_pointer state = weak.lock();
              const auto idleLimit
                  = std::min(maxIdleTime, idle->serverIdleTimeout().value_or(maxIdleTime));
              if (isByServer && state && m_loop.now() - since < idleLimit - idleMargin)
                  recordConnectionLoss(*state, idle->lastReceivedAt());
          };
    upstream->idle.push_front({std::move(client), since});
}

void upstream_table::recordConnectionLoss(upstream_state &upstream, steady_time aliveAt)
{
    const steady_time now = m_loop.now();
    // Logs one line for each suspected restart, regardless of the service's cold period.
    const bool wasSuspected
        = upstream.restarts.isSuspected(now, restart_detector::suspicionTimeout);
    upstream.restarts.recordLoss(aliveAt, now);
    if (wasSuspected || now < upstream.coldUntil)
        return;
    upstream.coldReason = "connection lost";
    m_events.write(event_id::upstream_cold,
                   {{"upstream", upstream.listed.id},
                    {"reason", upstream.coldReason},
                    {"started_ms", upstream.listed.startedMs}});
}

void upstream_table::recordLeaving(upstream_state &upstream)
{
    if (upstream.notices->recordLeaving())
        m_events.write(event_id::upstream_leaving,
                       {{"upstream", upstream.listed.id},
                        {"started_ms", upstream.listed.startedMs},
                        {"in_flight", upstream.inFlight}});
}

void upstream_table::recordQuiet(upstream_state &upstream, std::chrono::milliseconds period)
{
    const steady_time now = m_loop.now();
    const bool wasQuiet = upstream.notices->isQuiet(now);
    upstream.notices->recordQuiet(now, period);
    m_quiet.insert(upstream.listed.id);
    if (!wasQuiet)
        m_events.write(event_id::upstream_quiet,
                       {{"upstream", upstream.listed.id},
                        {"started_ms", upstream.listed.startedMs},
                        {"for_ms", remainingMs(upstream.notices->quietUntil(), now)},
                        {"in_flight", upstream.inFlight}});
}

bool upstream_table::recordLimit(upstream_state &upstream, std::optional<double> perSecond)
{
    const std::optional<double> before = upstream.notices->requestLimit();
    return upstream.notices->recordLimit({perSecond, m_loop.now()})
        && logLimitChange(upstream.listed.id, upstream.listed.startedMs, before, perSecond, false);
}

void upstream_table::recordSharedLimit(const std::string &id, std::int64_t startedMs,
                                       const limit_observation &observation)
{
    const auto [found, isNew] = m_notices.try_emplace({id, startedMs});
    if (isNew)
        found->second.listedAt = m_loop.now();
    upstream_notices &notices = *found->second.notices;
    const std::optional<double> before = notices.requestLimit();
    if (notices.recordSharedLimit(observation))
        logLimitChange(id, startedMs, before, observation.perSecond, true);
}

bool upstream_table::logLimitChange(const std::string &id, std::int64_t startedMs,
                                    std::optional<double> before, std::optional<double> after,
                                    bool isShared)
{
    if (after)
        m_events.write(event_id::upstream_limited,
                       {{"upstream", id},
                        {"started_ms", startedMs},
                        {"per_second", *after},
                        {"shared", isShared}});
    else
        m_events.write(event_id::upstream_unlimited,
                       {{"upstream", id}, {"started_ms", startedMs}, {"shared", isShared}});
    return after && (!before || *after < *before);
}

void upstream_table::closeIdle()
{
    std::erase_if(m_quiet, [this](const std::string &id) {
        const upstream_pointer state = find(id);
        if (state && state->notices->isQuiet(m_loop.now()))
            return false;
        if (state)
            m_events.write(event_id::upstream_returned,
                           {{"upstream", id}, {"started_ms", state->listed.startedMs}});
        return true;
    });
    for (const auto &[id, state] : m_upstreams)
        std::erase_if(state->idle, [this](const upstream_state::idle_connection &connection) {
            return !connection.client->isReusable()
                || m_loop.now() - connection.since > maxIdleTime;
        });
    std::erase_if(m_coldGates, [this](const auto &item) {
        return item.second.use_count() == 1 && item.second->isIdle(m_loop.now(), coldStartInterval);
    });
}

} // namespace buckthorngrade
