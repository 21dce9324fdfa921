#include "control/allocation_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorngrade {

namespace {

// An instance whose foreign load was not reported for some report periods is considered silent.
constexpr std::chrono::seconds usageLifetime{3};

slot_report makeSlotReport(const wire::report_request &report)
{
    slot_report result;
    result.instance = report.instance();
    result.incarnation = report.incarnation();
    return result;
}

// Returns the step by which the foreign limit may grow. It is at least one slot, as in
// shift_limiter.
std::uint32_t shiftStep(const profile &rules, std::uint32_t regionSlots)
{
    return std::max(1U, static_cast<std::uint32_t>(rules.shiftCap * regionSlots));
}

} // namespace

std::string foreignPoolName(const std::string &service)
{
    return service + "/foreign";
}

allocation_service::allocation_service(const settings &config, const control_state &state,
                                       const leader_confirmation &confirmed,
                                       const clock_source &clock, event_log &events,
                                       metric_registry &metrics)
    : m_settings(config)
    , m_state(state)
    , m_confirmed(confirmed)
    , m_clock(clock)
    , m_events(events)
    , m_reports(metrics.counter("buckthorngrade_reports_total"))
    , m_reportTime(metrics.summary("buckthorngrade_report_seconds"))
{
    for (const service_spec &service : config.deployment.services)
        for (const upstream_spec &upstream : service.upstreams)
            m_upstreams[{service.name, upstream.name}] = &upstream;
}

bool allocation_service::isConfirmed(std::uint64_t term) const
{
    const auto confirmed = m_confirmed.read();
    return confirmed && confirmed->term == term
        && m_clock.now() - confirmed->at <= maxConfirmationAge;
}

// Ensures that the table belongs to `term`. Returns false if the leader is not confirmed.
bool allocation_service::ensureTerm(std::uint64_t term)
{
    const auto confirmed = m_confirmed.read();
    if (!confirmed || confirmed->term != term || m_clock.now() - confirmed->at > maxConfirmationAge)
        return false;
    if (!m_termState || m_termState->term != term) {
        startTerm(*confirmed);
    } else if (m_termState->quorumSince != confirmed->continuousSince) {
        m_termState->quorumSince = confirmed->continuousSince;
        m_termState->slots->setQuorumSince(confirmed->continuousSince);
        for (const auto &[key, shift] : m_termState->shifts)
            shift.limitAllocator->setQuorumSince(confirmed->continuousSince);
    }
    return true;
}

void allocation_service::startTerm(const leader_confirmation::value &confirmed)
{
    m_termState = std::make_unique<term_state>();
    m_termState->term = confirmed.term;
    m_termState->quorumSince = confirmed.continuousSince;
    m_termState->revision = m_state.revision();
    std::vector<slot_pool> pools;
    for (const service_spec &service : m_settings.deployment.services) {
        // A member may still use the reserved share of any earlier profile version.
        const double largest = largestShare(service);
        const profile current = currentProfile(service);
        m_termState->profiles[service.name] = current;
        m_termState->rules[service.name] = makeSlotRules(service, current, largest);
        if (largest > current.reservedShare)
            m_termState->shareChanges[service.name] = {largest, ++m_shareChangeCount, {}};
        for (const upstream_spec &upstream : service.upstreams) {
            const std::string region = m_settings.deployment.regionOf(upstream.failureDomain);
            pools.push_back(
                {service.name, upstream.name, region, upstream.failureDomain, upstream.slots});
            m_termState->shifts[{service.name, region}].regionSlots += upstream.slots;
        }
        for (const region_spec &region : m_settings.deployment.regions)
            if (m_termState->shifts.contains({service.name, region.name}))
                createLimitAllocator(service, region.name, confirmed.continuousSince);
    }
    slot_allocator_settings options;
    options.term = confirmed.term;
    options.membersAreComplete = true;
    for (const region_spec &region : m_settings.deployment.regions)
        options.positions[region.name] = region.entryInstances;
    m_termState->slots = std::make_unique<slot_allocator>(
        options, std::move(pools), m_termState->rules, confirmed.continuousSince);
    applyMemberChanges(m_clock.now());
    applyDrainChanges();
    m_events.write(event_id::allocation_term_started,
                   {{"term", confirmed.term}, {"members", m_termState->members.size()}});
}

void allocation_service::createLimitAllocator(const service_spec &service,
                                              const std::string &region, steady_time now)
{
    shift_state &shift = m_termState->shifts.at({service.name, region});
    const std::string name = foreignPoolName(service.name);
    slot_rules rules;
    rules.reservedShare = 0;
    rules.regionLimit = 1;
    rules.requestDeadline = service.requestDeadline;
    rules.warmup = std::chrono::milliseconds(0);
    slot_allocator_settings options;
    options.term = m_termState->term;
    options.membersAreComplete = true;
    shift.limitAllocator = std::make_unique<slot_allocator>(
        options, std::vector<slot_pool>{{name, region, region, "", shift.regionSlots}},
        std::map<std::string, slot_rules>{{name, rules}}, now);
}

// Selects the members that get a share of the foreign limit if it is below the number of members:
// first those that hold slots, then those that ask for some. All members take part until the table
// is complete, so that no instance that holds slots of an earlier term is overlooked.
void allocation_service::selectSharingInstances(const std::string &region, shift_state &shift,
                                                steady_time now)
{
    std::vector<slot_member> members;
    std::ranges::copy_if(m_termState->members, std::back_inserter(members),
                         [&](const slot_member &member) { return member.region == region; });
    if (shift.isGovernorStarted && shift.limit < members.size()) {
        const auto rank = [&](const slot_member &member) {
            const auto usage = shift.usages.find(member.instance);
            if (usage == shift.usages.end())
                return std::pair(2, member.instance);
            return std::pair(usage->second.held > 0        ? 0
                                 : usage->second.wantsMore ? 1
                                                           : 2,
                             member.instance);
        };
        std::ranges::sort(members, {}, rank);
        members.resize(std::max<std::size_t>(shift.limit, 1));
    }
    std::vector<std::string> names;
    std::ranges::transform(members, std::back_inserter(names), &slot_member::instance);
    std::ranges::sort(names);
    if (names == shift.sharingInstances)
        return;
    shift.sharingInstances = std::move(names);
    shift.limitAllocator->setMembers(members, now);
}

slot_rules allocation_service::makeSlotRules(const service_spec &service, const profile &current,
                                             double largestShareInUse) const
{
    slot_rules rules;
    rules.reservedShare = current.reservedShare;
    rules.maxAppliedReservedShare = largestShareInUse;
    rules.regionLimit = current.regionLimit;
    rules.requestDeadline = service.requestDeadline;
    rules.warmup = current.warmup;
    return rules;
}

profile allocation_service::currentProfile(const service_spec &service) const
{
    const auto stored = m_state.findProfile(service.profile, 0);
    if (!stored)
        return {};
    profile result = parseProfile(stored->yaml());
    result.version = stored->version();
    return result;
}

double allocation_service::largestShare(const service_spec &service) const
{
    const auto versions = m_state.history(service.profile);
    // The defaults were in force before the first version.
    double largest
        = versions.empty() || versions.front().version() == 1 ? profile().reservedShare : 0;
    for (const wire::profile_version &version : versions)
        largest = std::max(largest, parseProfile(version.yaml()).reservedShare);
    return largest;
}

void allocation_service::applyConfigChanges()
{
    const std::uint64_t revision = m_state.revision();
    if (revision == m_termState->revision)
        return;
    m_termState->revision = revision;
    for (const service_spec &service : m_settings.deployment.services) {
        const profile current = currentProfile(service);
        profile &before = m_termState->profiles[service.name];
        if (current.version == before.version)
            continue;
        share_change &share = m_termState->shareChanges[service.name];
        const double largestShareInUse = std::max(share.largestShareInUse, before.reservedShare);
        share = {};
        if (largestShareInUse > current.reservedShare) {
            share.largestShareInUse = largestShareInUse;
            share.changeNumber = ++m_shareChangeCount;
        }
        before = current;
        m_termState->rules[service.name] = makeSlotRules(service, current, share.largestShareInUse);
        m_termState->slots->setRules(service.name, m_termState->rules[service.name]);
    }
}

void allocation_service::applyMemberChanges(steady_time now)
{
    const std::uint64_t version = m_state.instancesVersion();
    if (m_termState->membersVersion == version)
        return;
    m_termState->membersVersion = version;
    std::vector<slot_member> members;
    for (const wire::instance_record &record : m_state.instances()) {
        if (record.removed())
            continue;
        slot_member &member = members.emplace_back();
        member.instance = record.registered().instance();
        member.region = record.registered().region();
        member.failureDomain = record.registered().failure_domain();
        if (record.has_position())
            member.position = record.position();
    }
    m_termState->slots->setMembers(members, now);
    m_termState->members = std::move(members);
    for (auto &[key, shift] : m_termState->shifts)
        selectSharingInstances(key.second, shift, now);
}

void allocation_service::applyDrainChanges()
{
    const wall_time now = m_clock.wallNow();
    const auto nowMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    std::set<std::pair<wire::target_kind, std::string>> active;
    for (const wire::drain_record &drain : m_state.drains())
        if (drain.start_ms() <= nowMs && (drain.end_ms() == 0 || nowMs < drain.end_ms()))
            active.emplace(drain.kind(), drain.target());
    for (const auto &[key, upstream] : m_upstreams) {
        const std::string region = m_settings.deployment.regionOf(upstream->failureDomain);
        const bool isDrained = active.contains({wire::TARGET_UPSTREAM, upstream->name})
            || active.contains({wire::TARGET_FAILURE_DOMAIN, upstream->failureDomain})
            || active.contains({wire::TARGET_REGION, region});
        if (std::exchange(m_termState->drained[key], isDrained) != isDrained)
            m_termState->slots->setDrained(key.first, key.second, isDrained);
    }
}

const upstream_spec *allocation_service::findUpstream(const std::string &service,
                                                      const std::string &upstream) const
{
    const auto found = m_upstreams.find({service, upstream});
    return found == m_upstreams.end() ? nullptr : found->second;
}

// Records which members have applied a lower reserved share. A member has applied it once it
// reports the epochs of a reply that was made after the change. A member that still uses epochs of
// an earlier term is not counted.
void allocation_service::recordAppliedShares(const wire::report_request &report)
{
    const auto last = m_termState->lastReplies.find(report.instance());
    if (last == m_termState->lastReplies.end() || last->second.incarnation != report.incarnation())
        return;
    std::map<std::string, bool> hasApplied; // keyed by service
    for (const wire::upstream_demand &pool : report.upstreams()) {
        bool &applied = hasApplied.try_emplace(pool.service(), true).first->second;
        const auto granted = last->second.grants.find({pool.service(), pool.upstream()});
        const allocation_epoch needed = granted == last->second.grants.end()
            ? epochOfTerm(m_termState->term)
            : granted->second;
        applied = applied && pool.epoch() >= needed;
    }
    for (auto &[service, share] : m_termState->shareChanges)
        if (share.changeNumber != 0 && last->second.shareChangeCount >= share.changeNumber
            && hasApplied[service])
            share.applied.insert(report.instance());
}

void allocation_service::completeShareChanges()
{
    for (auto &[service, share] : m_termState->shareChanges) {
        if (share.changeNumber == 0
            || !std::ranges::all_of(m_termState->members, [&](const slot_member &member) {
                   return share.applied.contains(member.instance);
               }))
            continue;
        share = {};
        slot_rules &rules = m_termState->rules[service];
        rules.maxAppliedReservedShare = 0;
        m_termState->slots->setRules(service, rules);
    }
}

void allocation_service::report(std::uint64_t term, const wire::report_request &report,
                                wire::report_reply &reply)
{
    const std::lock_guard lock(m_mutex);
    if (!ensureTerm(term))
        return;
    const steady_time now = m_clock.now();
    m_reports.add();
    applyConfigChanges();
    applyMemberChanges(now);
    recordAppliedShares(report);
    recordLoad(report, now);
    allocate(report, reply, now);
    allocateForeign(report, reply, now);
    m_reportTime.add(m_clock.now() - now);
}

void allocation_service::recordLoad(const wire::report_request &report, steady_time now)
{
    for (const wire::upstream_demand &pool : report.upstreams()) {
        const upstream_spec *upstream = findUpstream(pool.service(), pool.upstream());
        if (!upstream)
            continue;
        if (pool.started())
            m_termState->slots->upstreamStarted(pool.service(), pool.upstream(), now);
        const auto shift = m_termState->shifts.find(
            {pool.service(), m_settings.deployment.regionOf(upstream->failureDomain)});
        if (shift == m_termState->shifts.end())
            continue;
        load_sample &load = shift->second.load;
        load.answers += pool.answers();
        load.sheds += pool.sheds();
        load.latencySum += static_cast<double>(pool.answers()) * pool.latency_us();
    }
    for (const wire::foreign_demand &foreign : report.foreign()) {
        const auto shift = m_termState->shifts.find({foreign.service(), report.region()});
        if (shift != m_termState->shifts.end())
            shift->second.usages[report.instance()]
                = {foreign.held(), std::max(foreign.peak_in_flight(), foreign.in_flight()),
                   foreign.waiting() > 0 || foreign.refused() > 0, now};
    }
}

void allocation_service::allocate(const wire::report_request &report, wire::report_reply &reply,
                                  steady_time now)
{
    slot_report allocatorReport = makeSlotReport(report);
    for (const wire::upstream_demand &pool : report.upstreams())
        allocatorReport.pools.push_back(
            {pool.service(), pool.upstream(), pool.held(), pool.in_flight(), pool.epoch()});
    for (const wire::service_demand &demand : report.services())
        allocatorReport.demands.push_back(
            {demand.service(), demand.peak_in_flight(), demand.waiting(), demand.refused()});
    const slot_reply granted = m_termState->slots->report(allocatorReport, now);
    last_reply last;
    last.shareChangeCount = m_shareChangeCount;
    last.incarnation = report.incarnation();
    for (const pool_grant &grant : granted.grants) {
        wire::upstream_allocation &allocation = *reply.add_allocations();
        allocation.set_service(grant.service);
        allocation.set_upstream(grant.upstream);
        allocation.set_slots(grant.grant.slots);
        allocation.set_epoch(grant.grant.epoch);
        allocation.set_reserved(grant.grant.reserved);
        last.grants[{grant.service, grant.upstream}] = grant.grant.epoch;
    }
    // The size of `lastReplies` is bounded by the number of members, because the reports of other
    // instances are not accepted.
    if (granted.isAccepted)
        m_termState->lastReplies[report.instance()] = std::move(last);
}

void allocation_service::allocateForeign(const wire::report_request &report,
                                         wire::report_reply &reply, steady_time now)
{
    for (const wire::foreign_demand &foreign : report.foreign()) {
        const auto found = m_termState->shifts.find({foreign.service(), report.region()});
        if (found == m_termState->shifts.end())
            continue;
        shift_state &shift = found->second;
        const std::string name = foreignPoolName(foreign.service());
        if (!shift.isGovernorStarted) {
            std::uint32_t held = 0;
            for (const auto &[instance, usage] : shift.usages)
                held += usage.held;
            shift.limit
                = held + shiftStep(m_termState->profiles[foreign.service()], shift.regionSlots);
            shift.limitAllocator->setCapacity(name, report.region(), shift.limit);
        }
        slot_report allocatorReport = makeSlotReport(report);
        allocatorReport.pools.push_back(
            {name, report.region(), foreign.held(), foreign.in_flight(), foreign.epoch()});
        allocatorReport.demands.push_back(
            {name, foreign.peak_in_flight(), foreign.waiting(), foreign.refused()});
        for (const pool_grant &grant : shift.limitAllocator->report(allocatorReport, now).grants) {
            wire::foreign_limit &limit = *reply.add_foreign_limits();
            limit.set_service(foreign.service());
            limit.set_region(report.region());
            limit.set_slots(grant.grant.slots);
            limit.set_epoch(grant.grant.epoch);
        }
    }
}

void allocation_service::updateForeignLimits(steady_time now)
{
    for (auto &[key, shift] : m_termState->shifts) {
        const auto &[service, region] = key;
        const std::string name = foreignPoolName(service);
        if (!shift.isGovernorStarted && !shift.limitAllocator->isHandoverComplete(name))
            continue;
        shift_sample sample;
        std::erase_if(shift.usages,
                      [&](const auto &item) { return now - item.second.at > usageLifetime; });
        for (const auto &[instance, usage] : shift.usages)
            sample.foreignPeak += usage.peak;
        sample.regionSlots = shift.regionSlots;
        const load_sample load = std::exchange(shift.load, {});
        if (load.answers > 0) {
            sample.latency = std::chrono::microseconds(
                std::llround(load.latencySum / static_cast<double>(load.answers)));
            sample.shedShare
                = static_cast<double>(load.sheds) / static_cast<double>(load.answers + load.sheds);
        }
        shift.isGovernorStarted = true;
        const shift_decision decision
            = shift.governor.update(sample, m_termState->profiles[service], now);
        if (decision.limit == shift.limit) {
            selectSharingInstances(region, shift, now);
            continue;
        }
        m_events.write(event_id::shift_limit_changed,
                       {{"service", service},
                        {"region", region},
                        {"limit", decision.limit},
                        {"before", shift.limit},
                        {"foreign_peak", sample.foreignPeak},
                        {"rule", decision.rule}});
        shift.limit = decision.limit;
        selectSharingInstances(region, shift, now);
        shift.limitAllocator->setCapacity(name, region,
                                          std::min(decision.limit, shift.regionSlots));
    }
}

void allocation_service::advance(std::uint64_t term)
{
    const std::lock_guard lock(m_mutex);
    if (!ensureTerm(term))
        return;
    const steady_time now = m_clock.now();
    applyConfigChanges();
    applyMemberChanges(now);
    applyDrainChanges();
    completeShareChanges();
    m_termState->slots->advance(now);
    for (const auto &[key, shift] : m_termState->shifts)
        shift.limitAllocator->advance(now);
    updateForeignLimits(now);
}

void allocation_service::stop()
{
    const std::lock_guard lock(m_mutex);
    m_termState.reset();
}

std::optional<std::uint32_t> allocation_service::foreignLimit(const std::string &service,
                                                              const std::string &region) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_termState)
        return std::nullopt;
    const auto shift = m_termState->shifts.find({service, region});
    if (shift == m_termState->shifts.end() || !shift->second.isGovernorStarted)
        return std::nullopt;
    return shift->second.limit;
}

allocation_service::service_status allocation_service::status(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    service_status result;
    if (!m_termState || !m_termState->rules.contains(service))
        return result;
    for (const auto &[key, upstream] : m_upstreams) {
        if (key.first != service)
            continue;
        const auto pool = m_termState->slots->status(key.first, key.second);
        result.slots += pool.slots;
        result.capacity += pool.capacity;
        result.charged += pool.charged;
    }
    result.isHandoverComplete = m_termState->slots->isHandoverComplete(service);
    return result;
}

} // namespace buckthorngrade
