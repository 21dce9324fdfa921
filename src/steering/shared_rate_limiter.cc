#include "steering/shared_rate_limiter.h"

#include <utility>

namespace buckthorngrade {

bool shared_rate_limiter::hasCapacity(steady_time now, const rate_share &share)
{
    std::erase_if(m_sent, [&](steady_time sent) { return now - sent >= share.interval; });
    return m_sent.size() + m_reserved < share.requests;
}

bool shared_rate_limiter::isIdle(steady_time now, std::chrono::milliseconds interval)
{
    return hasCapacity(now, {1, interval});
}

bool shared_rate_limiter::tryReserve(steady_time now, const rate_share &share)
{
    if (!hasCapacity(now, share))
        return false;
    ++m_reserved;
    return true;
}

void shared_rate_limiter::recordSent(steady_time now)
{
    --m_reserved;
    m_sent.push_back(now);
}

void shared_rate_limiter::release()
{
    --m_reserved;
}

rate_permit::rate_permit(std::shared_ptr<shared_rate_limiter> limiter, const rate_share &share)
    : m_limiter(std::move(limiter))
    , m_share(share)
{ }

rate_permit::rate_permit(rate_permit &&other) noexcept
    : m_limiter(std::move(other.m_limiter))
    , m_share(other.m_share)
{ }

rate_permit &rate_permit::operator=(rate_permit &&other) noexcept
{
    std::swap(m_limiter, other.m_limiter);
    std::swap(m_share, other.m_share);
    return *this;
}

rate_permit::~rate_permit()
{
    if (m_limiter)
        m_limiter->release();
}

void rate_permit::recordSent(steady_time now)
{
    if (m_limiter)
        std::exchange(m_limiter, nullptr)->recordSent(now);
}

} // namespace buckthorngrade
