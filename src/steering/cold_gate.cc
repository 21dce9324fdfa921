#include "steering/cold_gate.h"

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

std::uint32_t coldShare(const std::vector<peer_instance> &instances, std::string_view self,
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

bool cold_gate::isOpen(steady_time now, std::uint32_t share)
{
    std::erase_if(m_sent, [now](steady_time sent) { return now - sent >= coldStartInterval; });
    return m_sent.size() + m_reserved < share;
}

bool cold_gate::isIdle(steady_time now)
{
    return isOpen(now, 1);
}

bool cold_gate::tryReserve(steady_time now, std::uint32_t share)
{
    if (!isOpen(now, share))
        return false;
    ++m_reserved;
    return true;
}

void cold_gate::recordSent(steady_time now)
{
    --m_reserved;
    m_sent.push_back(now);
}

void cold_gate::release()
{
    --m_reserved;
}

cold_permit::cold_permit(std::shared_ptr<cold_gate> gate, std::uint32_t share)
    : m_gate(std::move(gate))
    , m_share(share)
{ }

cold_permit::cold_permit(cold_permit &&other) noexcept
    : m_gate(std::move(other.m_gate))
    , m_share(other.m_share)
{ }

cold_permit &cold_permit::operator=(cold_permit &&other) noexcept
{
    std::swap(m_gate, other.m_gate);
    std::swap(m_share, other.m_share);
    return *this;
}

cold_permit::~cold_permit()
{
    if (m_gate)
        m_gate->release();
}

void cold_permit::recordSent(steady_time now)
{
    if (m_gate)
        std::exchange(m_gate, nullptr)->recordSent(now);
}

} // namespace buckthorngrade
