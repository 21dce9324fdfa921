#include "entry/service_balancer.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr double latencySmoothing = 0.2; // weight of a new sample
constexpr std::chrono::milliseconds drainCheckPeriod{100};

std::vector<upstream_tiers::place> placesOf(const settings &config, const service_spec &service)
{
    std::vector<upstream_tiers::place> places;
    places.reserve(service.upstreams.size());
    for (const upstream_spec &upstream : service.upstreams)
        places.push_back({upstream.name, config.deployment.regionOf(upstream.failureDomain),
                          upstream.failureDomain});
    return places;
}

} // namespace

service_balancer::service_balancer(const settings &config, std::size_t service,
                                   const config_source &source, slot_table &slotTable,
                                   const link_rate_limiter &linkLimiter, const clock_source &clock)
    : m_settings(config)
    , m_index(service)
    , m_spec(config.deployment.services[service])
    , m_config(source)
    , m_slotTable(slotTable)
    , m_linkLimiter(linkLimiter)
    , m_clock(clock)
    , m_tiers(placesOf(config, m_spec), config.region(), config.failureDomain)
    , m_upstreams(m_spec.upstreams.size())
    , m_ejection(m_spec.upstreams.size())
    , m_random(std::hash<std::string>{}(config.instance + m_spec.name)
               ^ static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
    , m_demandSince(clock.now())
{ }

const profile &service_balancer::activeProfile(const config_snapshot &config) const
{
    static const profile defaults;
    const auto found = config.profiles.find(m_spec.profile);
    return found == config.profiles.end() ? defaults : found->second;
}

std::string service_balancer::regionOf(std::size_t upstream) const
{
    return m_tiers.places()[upstream].region;
}

void service_balancer::refreshDrains(const std::shared_ptr<const config_snapshot> &config,
                                     steady_time now)
{
    if (config == m_drainsConfig && now < m_drainsCheckedAt + drainCheckPeriod)
        return;
    m_drainsConfig = config;
    m_drainsCheckedAt = now;
    const wall_time wallNow = m_clock.wallNow();
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        const auto &place = m_tiers.places()[i];
        m_upstreams[i].isDrained = config->isDrained(drain_target::upstream, place.name, wallNow)
            || config->isDrained(drain_target::failure_domain, place.failureDomain, wallNow)
            || config->isDrained(drain_target::region, place.region, wallNow);
    }
}

std::vector<upstream_view> service_balancer::views(const std::vector<bool> &tried,
                                                   const profile &rules, steady_time now)
{
    const auto usage = m_slotTable.usageOf(m_index, now);
    std::vector<upstream_view> result(m_upstreams.size());
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        upstream_state &state = m_upstreams[i];
        upstream_view &view = result[i];
        view.slots = usage[i].allowed;
        view.inFlight = usage[i].inFlight;
        view.latency = state.latency;
        view.reportedLoad = state.load;
        view.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.loadAt);
        view.isEjected = m_ejection.isEjected(i, now);
        view.isDrained = state.isDrained;
        view.isExcluded = !tried.empty() && tried[i];
        const std::string &region = m_tiers.places()[i].region;
        view.hasLinkBudget = region == m_settings.region() || m_linkLimiter.mayStart(region);
        const bool isUnavailable = view.isEjected || view.isDrained;
        if (state.wasUnavailable && !isUnavailable)
            state.recoveredAt = now;
        state.wasUnavailable = isUnavailable;
        if (state.recoveredAt != steady_time::min() && rules.warmup.count() > 0)
            view.slowStartFraction = std::min(1.0,
                                              std::chrono::duration<double>(now - state.recoveredAt)
                                                  / std::chrono::duration<double>(rules.warmup));
    }
    return result;
}

service_balancer::selection service_balancer::tryAcquire(const std::vector<bool> &tried,
                                                         const profile &rules,
                                                         decision_record *record)
{
    const steady_time now = m_clock.now();
    const auto all = views(tried, rules, now);
    const selection_decision decision = selectUpstream(
        m_tiers, all, {rules.latencyWeight, rules.headroomWeight}, m_random(), record);
    selection result;
    result.rule = decision.rule;
    if (!decision.upstream || !m_slotTable.tryAcquire(m_index, *decision.upstream, now))
        return result;
    result.upstream = *decision.upstream;
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
    return result;
}

service_balancer::selection service_balancer::acquire(const std::vector<bool> &tried,
                                                      steady_time deadline, decision_record *record)
{
    // Queued requests check again at this interval because an upstream also becomes available
    // without a release(): an ejection ends, a link regains budget, or an allocation arrives.
    constexpr std::chrono::milliseconds recheckInterval{20};
    const auto config = m_config.current();
    const profile &rules = activeProfile(*config);
    std::unique_lock lock(m_mutex);
    ++m_arrivals;
    refreshDrains(config, m_clock.now());
    selection result;
    // A new request does not overtake those in the queue.
    if (m_waiting == 0) {
        result = tryAcquire(tried, rules, record);
        if (result.upstream)
            return result;
    }
    const auto refuse = [&](std::string_view rule, bool isDeadlinePassed) {
        ++m_refused;
        if (record) {
            record->kind = decision_kind::refusal;
            record->setRule(rule);
            record->setOutcome("not-run");
        }
        return selection{std::nullopt, rule, isDeadlinePassed};
    };
    if (m_waiting >= rules.queueLength)
        return refuse("queue-full", false);
    const steady_time end = std::min(m_clock.now() + rules.queueTimeout, deadline);
    ++m_waiting;
    while (!result.upstream && m_clock.now() < end) {
        m_slotReleased.wait_until(lock, std::min(end, m_clock.now() + recheckInterval));
        refreshDrains(m_config.current(), m_clock.now());
        result = tryAcquire(tried, rules, nullptr);
    }
    --m_waiting;
    if (result.upstream) {
        if (record) {
            record->kind = decision_kind::selection;
            record->setRule("selected-after-waiting");
            record->setOutcome(m_tiers.places()[*result.upstream].name);
        }
        return result;
    }
    if (m_clock.now() >= deadline)
        return refuse("deadline-in-queue", true);
    return refuse("queue-timeout", false);
}

void service_balancer::release(std::size_t upstream)
{
    m_slotTable.release(m_index, upstream);
    {
        const std::lock_guard lock(m_mutex);
        --m_inFlight;
    }
    m_slotReleased.notify_all();
}

bool service_balancer::hasAlternative(const std::vector<bool> &tried)
{
    const auto config = m_config.current();
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(
        views(tried, activeProfile(*config), m_clock.now()),
        [](const upstream_view &view) { return ineligibleReason(view).empty(); });
}

bool service_balancer::tryAdmitForeign()
{
    const std::lock_guard lock(m_mutex);
    if (!m_foreignLease.mayStart(m_foreignInFlight, m_clock.now())) {
        ++m_foreignRefused;
        return false;
    }
    ++m_foreignInFlight;
    m_foreignPeak = std::max(m_foreignPeak, m_foreignInFlight);
    return true;
}

void service_balancer::finishForeign()
{
    const std::lock_guard lock(m_mutex);
    --m_foreignInFlight;
}

void service_balancer::applyForeignLimit(std::uint64_t term, const std::optional<slot_grant> &share,
                                         steady_time reportSentAt)
{
    const std::lock_guard lock(m_mutex);
    m_foreignLease.observeTerm(term);
    if (!share)
        return;
    const steady_time now = m_clock.now();
    const std::uint32_t before = m_foreignLease.allowed(now);
    if (m_foreignLease.apply(*share, reportSentAt) && m_foreignLease.allowed(now) > before)
        m_foreignShareGrewAt = now;
}

void service_balancer::renewByProof(steady_time probeSentAt, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_foreignLease.renewByProof(probeSentAt, now);
}

bool service_balancer::isShiftUnderWay(const profile &rules)
{
    const auto config = m_config.current();
    const wall_time wallNow = m_clock.wallNow();
    const bool hasRecentDrain = std::ranges::any_of(config->drains, [&](const drain &item) {
        return item.isActive(wallNow) && wallNow - item.start < rules.shiftInterval;
    });
    const std::lock_guard lock(m_mutex);
    return hasRecentDrain
        || (m_foreignShareGrewAt != steady_time::min()
            && m_clock.now() - m_foreignShareGrewAt < rules.shiftInterval);
}

void service_balancer::recordSuccess(std::size_t upstream, std::chrono::microseconds latency)
{
    const std::lock_guard lock(m_mutex);
    upstream_state &state = m_upstreams[upstream];
    m_ejection.recordSuccess(upstream, m_clock.now());
    state.latency = state.latency ? std::chrono::microseconds(static_cast<std::int64_t>(
                        static_cast<double>(state.latency->count()) * (1 - latencySmoothing)
                        + static_cast<double>(latency.count()) * latencySmoothing))
                                  : latency;
    state.latencySum += latency;
    ++state.report.responses;
    if (std::exchange(state.isRefusingConnections, false)) {
        state.report.hasRestarted = true;
        state.recoveredAt = m_clock.now();
    }
}

bool service_balancer::recordFailure(std::size_t upstream, failure_point point)
{
    const std::lock_guard lock(m_mutex);
    ++m_upstreams[upstream].report.failures;
    if (point == failure_point::connect_failed)
        m_upstreams[upstream].isRefusingConnections = true;
    return m_ejection.recordFailure(upstream, m_clock.now());
}

void service_balancer::recordShed(std::size_t upstream)
{
    const std::lock_guard lock(m_mutex);
    ++m_upstreams[upstream].report.sheds;
}

void service_balancer::recordLoad(std::size_t upstream, double load)
{
    const std::lock_guard lock(m_mutex);
    m_upstreams[upstream].load = load;
    m_upstreams[upstream].loadAt = m_clock.now();
}

void service_balancer::recordFirstAttempt()
{
    const std::lock_guard lock(m_mutex);
    m_budget.recordFirstAttempt(m_clock.now());
}

bool service_balancer::canRetry(double share)
{
    const std::lock_guard lock(m_mutex);
    return m_budget.canRetry(share, m_clock.now());
}

bool service_balancer::tryRetry(double share)
{
    const std::lock_guard lock(m_mutex);
    return m_budget.tryRetry(share, m_clock.now());
}

service_balancer::demand service_balancer::collectDemand(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    demand result;
    const double seconds = std::chrono::duration<double>(now - m_demandSince).count();
    result.arrivals = seconds > 0 ? m_arrivals / seconds : 0.0;
    result.waiting = m_waiting;
    result.peakInFlight = std::exchange(m_peakInFlight, m_inFlight);
    result.refused = std::exchange(m_refused, 0);
    result.foreignHeld = m_foreignLease.allowed(now);
    result.foreignInFlight = m_foreignInFlight;
    result.foreignPeak = std::exchange(m_foreignPeak, m_foreignInFlight);
    result.foreignRefused = std::exchange(m_foreignRefused, 0);
    result.foreignEpoch = m_foreignLease.epoch();
    m_arrivals = 0;
    m_demandSince = now;
    for (upstream_state &state : m_upstreams) {
        upstream_report report = std::exchange(state.report, {});
        if (report.responses > 0)
            report.latency = state.latencySum / report.responses;
        state.latencySum = std::chrono::microseconds(0);
        result.upstreams.push_back(report);
    }
    return result;
}

std::vector<service_balancer::upstream_status> service_balancer::status()
{
    const auto config = m_config.current();
    const std::lock_guard lock(m_mutex);
    refreshDrains(config, m_clock.now());
    const auto all = views({}, activeProfile(*config), m_clock.now());
    std::vector<upstream_status> result;
    for (std::size_t i = 0; i < all.size(); ++i)
        result.push_back({m_tiers.places()[i].name, all[i]});
    return result;
}

} // namespace buckthorngrade
