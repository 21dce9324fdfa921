#include "control/instance_registry.h"

#include <array>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds suspectedAfter{3'000};
constexpr std::chrono::milliseconds deadAfter{10'000};
constexpr std::size_t maxInstances = 10'000;

} // namespace

void instance_registry::record(const wire::report_request &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_instances.find(report.instance());
    if (found == m_instances.end() && m_instances.size() >= maxInstances)
        return;
    known_instance &known = m_instances[report.instance()];
    if (report.incarnation() < known.status.incarnation)
        return; // a late report of an earlier process
    known.status.name = report.instance();
    known.status.incarnation = report.incarnation();
    known.status.address = report.http_address();
    known.status.region = report.region();
    known.status.failureDomain = report.failure_domain();
    known.status.revision = report.revision();
    known.leaving = report.leaving();
    known.ready = report.ready();
    known.lastReport = now;
}

std::vector<instance_status> instance_registry::list(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<instance_status> result;
    for (const auto &[name, known] : m_instances) {
        instance_status status = known.status;
        const auto silence = now - known.lastReport;
        if (silence > deadAfter)
            status.state = instance_state::dead;
        else if (silence > suspectedAfter)
            status.state = instance_state::suspected;
        else if (known.leaving)
            status.state = instance_state::leaving;
        else
            status.state = known.ready ? instance_state::live : instance_state::not_ready;
        result.push_back(status);
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
