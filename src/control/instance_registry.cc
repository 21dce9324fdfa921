#include "control/instance_registry.h"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxInstances = 10'000;
constexpr std::size_t maxObservers = 8; // for each instance
constexpr std::chrono::seconds observationLifetime{3};
// Time until no caller uses an instance that was excluded from lookups: two report periods until
// every entry instance has the instance table without it, plus the lifetime of a cached lookup.
constexpr std::chrono::seconds exclusionDelay{5};

// Returns the fraction of the held slots that is in use.
double slotUtilization(const wire::report_request &report)
{
    double held = 0;
    double used = 0;
    for (const wire::upstream_demand &upstream : report.upstreams()) {
        held += upstream.held();
        used += upstream.in_flight();
    }
    return held > 0 ? used / held : 0;
}

} // namespace

instance_registry::instance_registry(event_log &events)
    : m_events(events)
{ }

void instance_registry::beginTerm(std::uint64_t term,
                                  const std::vector<wire::instance_record> &registered,
                                  steady_time now)
{
    const std::lock_guard lock(m_mutex);
    if (term == m_term)
        return;
    m_term = term;
    m_instances.clear();
    applyRegistered(registered, now);
}

void instance_registry::setRegistered(const std::vector<wire::instance_record> &registered,
                                      steady_time now)
{
    const std::lock_guard lock(m_mutex);
    applyRegistered(registered, now);
}

void instance_registry::applyRegistered(const std::vector<wire::instance_record> &registered,
                                        steady_time now)
{
    for (const wire::instance_record &record : registered) {
        const wire::register_instance &registration = record.registered();
        // With incarnation 0 the first report is accepted from any process of the instance.
        const auto [found, added] = m_instances.try_emplace(registration.instance(), 0, now);
        known_instance &known = found->second;
        if (added) {
            known.status.name = registration.instance();
            known.status.region = registration.region();
            known.status.failureDomain = registration.failure_domain();
            known.excludedSince = now;
        }
        known.registeredIncarnation = registration.incarnation();
        known.registeredRegion = registration.region();
        known.isRemoved = record.removed();
        known.removedIncarnation = record.removed_incarnation();
    }
}

void instance_registry::setPlatformList(std::optional<platform_list> list)
{
    const std::lock_guard lock(m_mutex);
    m_platformList = std::move(list);
}

bool instance_registry::record(const wire::report_request &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_instances.find(report.instance());
    if (found == m_instances.end()) {
        if (m_instances.size() >= maxInstances)
            return false;
        found = m_instances.try_emplace(report.instance(), report.incarnation(), now).first;
        found->second.excludedSince = now;
    }
    known_instance &known = found->second;
    if (report.incarnation() < known.registeredIncarnation
        || (known.isRemoved && report.incarnation() <= known.removedIncarnation)
        || !known.rule.recordReport(report.incarnation(), now))
        return false;
    known.hasReported = true;
    known.status.name = report.instance();
    known.status.incarnation = report.incarnation();
    known.status.address = report.http_address();
    known.status.region = report.region();
    known.status.failureDomain = report.failure_domain();
    known.status.revision = report.revision();
    known.status.load = slotUtilization(report);
    known.isLeaving = report.leaving();
    known.isReady = report.ready();
    recordObservations(report, now);
    updateState(known, now);
    return true;
}

void instance_registry::recordObservations(const wire::report_request &report, steady_time now)
{
    for (const wire::peer_observation &peer : report.peers()) {
        const auto found = m_instances.find(peer.instance());
        if (found == m_instances.end() || peer.instance() == report.instance())
            continue;
        auto &observations = found->second.observations;
        std::erase_if(observations,
                      [&](const auto &item) { return now - item.second.at > observationLifetime; });
        if (observations.size() < maxObservers || observations.contains(report.instance()))
            observations[report.instance()] = {peer.reachable(), now};
    }
}

observed_reachability instance_registry::observerOpinion(const known_instance &known,
                                                         steady_time now) const
{
    observed_reachability result = observed_reachability::not_observed;
    for (const auto &[observer, seen] : known.observations) {
        if (now - seen.at > observationLifetime)
            continue;
        if (seen.isReachable)
            return observed_reachability::reachable;
        result = observed_reachability::unreachable;
    }
    return result;
}

void instance_registry::updateState(known_instance &known, steady_time now)
{
    liveness_input input;
    input.reachability = observerOpinion(known, now);
    input.isRemovedByOperator
        = known.isRemoved && known.status.incarnation <= known.removedIncarnation;
    input.isReady = known.hasReported && known.isReady;
    input.isLeaving = known.isLeaving;
    if (m_platformList) {
        const auto listed = m_platformList->leavingByName.find(known.status.name);
        input.isListed = listed != m_platformList->leavingByName.end();
        input.isLeaving = input.isLeaving || (input.isListed && listed->second);
    }
    liveness_decision decision = known.rule.decide(input, now);
    known.stateRule = decision.rule;
    // The state becomes `removed` only after the removal is committed.
    if (decision.state == instance_state::removed && !input.isRemovedByOperator)
        decision.state = instance_state::dead;
    if (decision.state == instance_state::live)
        known.excludedSince.reset();
    else if (!known.excludedSince)
        known.excludedSince = now;
    if (decision.state == known.state)
        return;
    m_events.write(event_id::instance_state_changed,
                   {{"entry", known.status.name},
                    {"incarnation", known.status.incarnation},
                    {"from", toString(known.state)},
                    {"to", toString(decision.state)},
                    {"rule", decision.rule}});
    known.state = decision.state;
}

std::vector<instance_status> instance_registry::list(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<instance_status> result;
    result.reserve(m_instances.size());
    for (auto &[name, known] : m_instances) {
        updateState(known, now);
        known.status.state = known.state;
        result.push_back(known.status);
    }
    return result;
}

instance_registry::in_force instance_registry::inForce(std::uint64_t accepted, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    in_force result;
    result.revision = accepted;
    for (auto &[name, known] : m_instances) {
        updateState(known, now);
        if (known.state == instance_state::removed || known.state == instance_state::dead
            || known.status.revision >= accepted
            || (known.excludedSince && now - *known.excludedSince > exclusionDelay))
            continue;
        result.revision = std::min(result.revision, known.status.revision);
        result.behind.push_back(name);
    }
    return result;
}

std::vector<wire::register_instance> instance_registry::unregistered(std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::register_instance> result;
    for (const auto &[name, known] : m_instances) {
        if (result.size() >= limit)
            break;
        // A process that was removed is not registered again; only a later incarnation is.
        const std::uint64_t before
            = std::max(known.registeredIncarnation, known.isRemoved ? known.removedIncarnation : 0);
        if (!known.hasReported || known.status.incarnation <= before)
            continue;
        wire::register_instance &added = result.emplace_back();
        added.set_instance(name);
        added.set_incarnation(known.status.incarnation);
        added.set_region(known.status.region);
        added.set_failure_domain(known.status.failureDomain);
    }
    return result;
}

std::vector<wire::remove_instance> instance_registry::removable(std::size_t limit, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::remove_instance> result;
    for (auto &[name, known] : m_instances) {
        if (result.size() >= limit)
            break;
        updateState(known, now);
        if (known.isRemoved || known.registeredIncarnation == 0
            || known.stateRule != "unlisted-and-silent")
            continue;
        wire::remove_instance &removed = result.emplace_back();
        removed.set_instance(name);
        removed.set_incarnation(known.registeredIncarnation);
    }
    return result;
}

std::string_view toString(instance_state state)
{
    constexpr std::array<std::string_view, 6> words
        = {"live", "suspected", "dead", "leaving", "removed", "not-ready"};
    return words[static_cast<std::size_t>(state)];
}

wire::instance_health toWire(instance_state state)
{
    constexpr std::array<wire::instance_health, 6> values
        = {wire::HEALTH_LIVE,    wire::HEALTH_SUSPECTED, wire::HEALTH_DEAD,
           wire::HEALTH_LEAVING, wire::HEALTH_REMOVED,   wire::HEALTH_NOT_READY};
    return values[static_cast<std::size_t>(state)];
}

} // namespace buckthorngrade
