#include "testing/load_gauge.h"

#include <algorithm>
#include <ranges>

namespace buckthorngrade {

namespace {

constexpr std::chrono::seconds historyAge{60};
constexpr std::chrono::milliseconds historyStep{5};

} // namespace

load_gauge::load_gauge(std::uint32_t slots)
    : m_slots(slots)
{ }

bool load_gauge::tryEnter(bool shed)
{
    const std::lock_guard lock(m_mutex);
    m_counts.peakOffered = std::max(m_counts.peakOffered, m_counts.running + 1);
    if (shed && m_counts.running >= m_slots) {
        ++m_counts.shed;
        return false;
    }
    ++m_counts.running;
    ++m_counts.entered;
    m_counts.peakRunning = std::max(m_counts.peakRunning, m_counts.running);
    remember();
    return true;
}

void load_gauge::leave()
{
    const std::lock_guard lock(m_mutex);
    --m_counts.running;
    remember();
}

load_gauge::counts load_gauge::read() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

std::uint32_t load_gauge::runningBefore(std::chrono::milliseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    if (lag.count() == 0)
        return m_counts.running;
    const steady_time then = std::chrono::steady_clock::now() - lag;
    const auto reversed = m_history | std::views::reverse;
    const auto found
        = std::ranges::find_if(reversed, [&](const auto &sample) { return sample.first <= then; });
    return found == reversed.end() ? 0 : found->second;
}

void load_gauge::remember()
{
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_history.empty() && now - m_history.back().first < historyStep)
        m_history.back().second = m_counts.running;
    else
        m_history.emplace_back(now, m_counts.running);
    while (now - m_history.front().first > historyAge)
        m_history.pop_front();
}

} // namespace buckthorngrade
