#include "entry/link_meter.h"

#include <algorithm>
#include <thread>

namespace buckthorngrade {

namespace {

constexpr double directionShare = 0.5;

} // namespace

link_meter::link_meter(const settings &config, const clock_source &clock)
    : m_clock(clock)
{
    const std::string own = config.region();
    const auto add = [&](const std::string &region, direction way, std::uint64_t rate) {
        m_links.emplace(key{region, way},
                        link{rate, link_budget(rate, directionShare, clock.now())});
    };
    for (const link_spec &spec : config.deployment.links) {
        if (spec.from == own)
            add(spec.to, direction::request, spec.bytesPerSecond);
        if (spec.to == own)
            add(spec.from, direction::response, spec.bytesPerSecond);
    }
}

void link_meter::setInstances(std::size_t count)
{
    const double share = directionShare / static_cast<double>(std::max<std::size_t>(count, 1));
    const std::lock_guard lock(m_mutex);
    for (auto &[name, item] : m_links)
        item.budget.setRate(item.rate, share, m_clock.now());
}

bool link_meter::mayStart(const std::string &region) const
{
    const std::lock_guard lock(m_mutex);
    const auto isOpen = [&](direction way) {
        const auto found = m_links.find({region, way});
        return found == m_links.end() || found->second.budget.mayStart(m_clock.now());
    };
    return isOpen(direction::request) && isOpen(direction::response);
}

void link_meter::pace(const std::string &region, direction way, std::uint64_t bytes,
                      steady_time deadline)
{
    steady_time now = m_clock.now();
    std::chrono::nanoseconds wait{0};
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find({region, way});
        if (found == m_links.end())
            return;
        found->second.budget.take(bytes, now);
        wait = found->second.budget.delay(now);
    }
    if (wait > std::chrono::nanoseconds(0) && now < deadline)
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(wait, deadline - now));
}

} // namespace buckthorngrade
