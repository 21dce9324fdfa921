#include "entry/link_rate_limiter.h"

#include <algorithm>
#include <thread>

namespace buckthorngrade {

namespace {

constexpr double trafficKindShare = 0.5;

} // namespace

link_rate_limiter::link_rate_limiter(const settings &config, const clock_source &clock)
    : m_clock(clock)
{
    const std::string ownRegion = config.region();
    const auto add = [&](const std::string &region, traffic_kind kind, std::uint64_t rate) {
        m_links.emplace(key{region, kind},
                        link{rate, link_budget(rate, trafficKindShare, clock.now())});
    };
    for (const link_spec &spec : config.deployment.links) {
        if (spec.from == ownRegion)
            add(spec.to, traffic_kind::request, spec.bytesPerSecond);
        if (spec.to == ownRegion)
            add(spec.from, traffic_kind::response, spec.bytesPerSecond);
    }
}

void link_rate_limiter::setInstanceCount(std::size_t count)
{
    const double share = trafficKindShare / static_cast<double>(std::max<std::size_t>(count, 1));
    const std::lock_guard lock(m_mutex);
    for (auto &[name, item] : m_links)
        item.budget.setRate(item.rate, share, m_clock.now());
}

bool link_rate_limiter::mayStart(const std::string &region) const
{
    const std::lock_guard lock(m_mutex);
    const auto hasBudget = [&](traffic_kind kind) {
        const auto found = m_links.find({region, kind});
        return found == m_links.end() || found->second.budget.mayStart(m_clock.now());
    };
    return hasBudget(traffic_kind::request) && hasBudget(traffic_kind::response);
}

void link_rate_limiter::pace(const std::string &region, traffic_kind kind, std::uint64_t bytes,
                             steady_time deadline)
{
    steady_time now = m_clock.now();
    std::chrono::nanoseconds wait{0};
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find({region, kind});
        if (found == m_links.end())
            return;
        found->second.budget.take(bytes, now);
        wait = found->second.budget.delay(now);
    }
    if (wait > std::chrono::nanoseconds(0) && now < deadline)
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(wait, deadline - now));
}

} // namespace buckthorngrade
