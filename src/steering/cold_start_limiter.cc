#include "steering/cold_start_limiter.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace buckthorngrade {

namespace {

// Fraction of the rate that is assigned to instances. The rest covers the requests of instances
// whose view of the peers differs.
constexpr double usedFraction = 0.9;

} // namespace

std::uint32_t coldStartShare(const std::vector<peer_instance> &instances, std::string_view self,
                             std::string_view upstream, std::string_view upstreamRegion,
                             double perSecond)
{
    const auto wholeRequests
        = static_cast<std::size_t>(std::max(0.0, std::floor(perSecond * usedFraction)));
    const std::uint64_t upstreamHash = hashOf(upstream);
    const auto keyOf = [&](const peer_instance &instance) {
        return std::tuple(instance.region != upstreamRegion,
                          combineHashes(hashOf(instance.name), upstreamHash), instance.name);
    };
    const auto own = std::ranges::find(instances, self, &peer_instance::name);
    if (own == instances.end() || wholeRequests == 0)
        return 0;
    const auto ownKey = keyOf(*own);
    const auto precedingInstances = static_cast<std::size_t>(std::ranges::count_if(
        instances, [&](const peer_instance &other) { return keyOf(other) < ownKey; }));
    if (precedingInstances >= wholeRequests)
        return 0;
    return static_cast<std::uint32_t>(wholeRequests / std::min(instances.size(), wholeRequests));
}

bool cold_start_limiter::hasCapacity(steady_time now, std::uint32_t share)
{
    std::erase_if(m_sent, [now](steady_time sent) { return now - sent >= coldStartInterval; });
    return m_sent.size() + m_reserved < share;
}

bool cold_start_limiter::isIdle(steady_time now)
{
    return hasCapacity(now, 1);
}

bool cold_start_limiter::tryReserve(steady_time now, std::uint32_t share)
{
    if (!hasCapacity(now, share))
        return false;
    ++m_reserved;
    return true;
}

void cold_start_limiter::recordSent(steady_time now)
{
    --m_reserved;
    m_sent.push_back(now);
}

void cold_start_limiter::release()
{
    --m_reserved;
}

cold_start_permit::cold_start_permit(std::shared_ptr<cold_start_limiter> limiter,
                                     std::uint32_t share)
    : m_limiter(std::move(limiter))
    , m_share(share)
{ }

cold_start_permit::cold_start_permit(cold_start_permit &&other) noexcept
    : m_limiter(std::move(other.m_limiter))
    , m_share(other.m_share)
{ }

cold_start_permit &cold_start_permit::operator=(cold_start_permit &&other) noexcept
{
    std::swap(m_limiter, other.m_limiter);
    std::swap(m_share, other.m_share);
    return *this;
}

cold_start_permit::~cold_start_permit()
{
    if (m_limiter)
        m_limiter->release();
}

void cold_start_permit::recordSent(steady_time now)
{
    if (m_limiter)
        std::exchange(m_limiter, nullptr)->recordSent(now);
}

} // namespace buckthorngrade
