#include "steering/link_budget.h"

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

link_budget::link_budget(std::uint64_t bytesPerSecond, double share, steady_time now)
    : m_rate(static_cast<double>(bytesPerSecond) * std::clamp(share, 0.0, 1.0))
    , m_balance(m_rate * seconds(burst))
    , m_updated(now)
{ }

void link_budget::setRate(std::uint64_t bytesPerSecond, double share, steady_time now)
{
    m_balance = balance(now);
    m_updated = std::max(m_updated, now);
    m_rate = static_cast<double>(bytesPerSecond) * std::clamp(share, 0.0, 1.0);
    m_balance = std::min(m_balance, m_rate * seconds(burst));
}

double link_budget::balance(steady_time now) const
{
    const double elapsed = std::max(seconds(now - m_updated), 0.0);
    return std::min(m_balance + elapsed * m_rate, m_rate * seconds(burst));
}

void link_budget::take(std::uint64_t bytes, steady_time now)
{
    m_balance = std::max(balance(now) - static_cast<double>(bytes), -m_rate * seconds(maxDebt));
    m_updated = std::max(m_updated, now);
}

std::chrono::nanoseconds link_budget::delay(steady_time now) const
{
    const double current = balance(now);
    if (current > 0)
        return std::chrono::nanoseconds(0);
    if (m_rate <= 0)
        return std::chrono::nanoseconds::max();
    // Waits for one byte above zero, because a start needs a positive balance.
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(std::ceil((1 - current) / m_rate * 1e9)));
}

} // namespace buckthorngrade
