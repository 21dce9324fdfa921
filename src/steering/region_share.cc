#include "steering/region_share.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr double mostInAll = 0.95;

} // namespace

region_share::region_share(std::string ownRegion, const limits &bounds)
    : m_own(std::move(ownRegion))
    , m_limits(bounds)
{ }

double region_share::total() const
{
    double sum = 0;
    for (const auto &[region, share] : m_shares)
        sum += share;
    return sum;
}

void region_share::leaveHome(const std::map<std::string, region_state> &regions)
{
    double slots = 0;
    for (const auto &[region, state] : regions)
        slots += region == m_own ? 0 : state.slots;
    m_shares.clear();
    for (const auto &[region, state] : regions)
        if (region != m_own && state.slots > 0)
            m_shares[region] = state.slots / slots;
}

void region_share::start(const std::map<std::string, region_state> &regions)
{
    double slots = 0;
    double entries = 0;
    for (const auto &[region, state] : regions) {
        slots += state.slots;
        entries += state.entries;
    }
    const auto slotsPart = [&](const region_state &state) { return state.slots / slots; };
    const auto callersPart = [&](const region_state &state) {
        return entries > 0 ? state.entries / entries : 1.0 / static_cast<double>(regions.size());
    };
    m_isStarted = true;
    m_shares.clear();
    const region_state &own = regions.at(m_own);
    const double away // Share of the own callers' requests.
        = callersPart(own) > 0 ? 1 - slotsPart(own) / callersPart(own) : 0;
    if (away <= 0)
        return;
    double spare = 0;
    for (const auto &[region, state] : regions)
        spare += std::max(0.0, slotsPart(state) - callersPart(state));
    for (const auto &[region, state] : regions) {
        const double part = std::max(0.0, slotsPart(state) - callersPart(state));
        if (region != m_own && part > 0)
            m_shares[region] = away * part / spare;
    }
}

bool region_share::comeHome(const std::map<std::string, region_state> &regions)
{
    const auto utilizationOf = [&](const auto &item) { return regions.at(item.first).utilization; };
    const auto from = std::ranges::max_element(m_shares, {}, utilizationOf);
    if (from == m_shares.end())
        return false;
    from->second -= std::min(from->second, m_limits.step);
    if (from->second <= 0)
        m_shares.erase(from);
    return true;
}

bool region_share::update(const std::map<std::string, region_state> &regions, steady_time now)
{
    const auto own = regions.find(m_own);
    if (own == regions.end() || own->second.slots <= 0) {
        const bool isNew = !m_isForced;
        m_isForced = true;
        m_isStarted = true;
        if (isNew || m_shares.empty())
            leaveHome(regions);
        return isNew;
    }
    m_hasRequests = m_hasRequests || std::ranges::any_of(regions, [](const auto &item) {
                        return item.second.utilization > 0;
                    });
    // Until there are requests, the initial shares are recomputed instead of adjusted, because
    // instances and upstreams may still be joining.
    if (m_isForced || !m_isStarted || !m_hasRequests) {
        const auto before = m_shares;
        const bool wasStarted = m_isStarted;
        m_isForced = false;
        m_changedAt = now;
        start(regions);
        return !wasStarted || m_shares != before;
    }
    if (now - m_changedAt < interval)
        return false;
    m_changedAt = now;
    const double ownUse = own->second.utilization;
    const auto isUsable
        = [&](const auto &item) { return item.first != m_own && item.second.slots > 0; };
    const std::pair<const std::string, region_state> *least = nullptr;
    const std::pair<const std::string, region_state> *most = nullptr;
    for (const auto &item : regions) {
        if (!isUsable(item))
            continue;
        if (least == nullptr || item.second.utilization < least->second.utilization)
            least = &item;
        const auto share = m_shares.find(item.first);
        if (share != m_shares.end() && share->second > 0
            && (most == nullptr || item.second.utilization > most->second.utilization))
            most = &item;
    }
    std::erase_if(m_shares, [&](const auto &item) {
        const auto found = regions.find(item.first);
        return found == regions.end() || found->second.slots <= 0;
    });
    if (least != nullptr && ownUse > m_limits.highUtilization
        && least->second.utilization < ownUse - m_limits.least && total() < mostInAll) {
        m_shares[least->first] += m_limits.step;
        return true;
    }
    if (most == nullptr)
        return false;
    if (most->second.utilization < m_limits.highUtilization)
        return ownUse >= m_limits.idleUtilization && ownUse < m_limits.lowUtilization
            && comeHome(regions);
    // Moves requests from the most utilized other region to the least utilized region, which may be
    // the own one.
    const bool isOwnLeast
        = least == nullptr || ownUse <= least->second.utilization + m_limits.least / 2;
    const double leastUse = isOwnLeast ? ownUse : least->second.utilization;
    if (most->second.utilization < leastUse + m_limits.least)
        return false;
    double &share = m_shares[most->first];
    const double moved = std::min(share, m_limits.step);
    share -= moved;
    if (!isOwnLeast)
        m_shares[least->first] += moved;
    return true;
}

const std::string &region_share::choose(std::uint64_t hash, double ownBoost) const
{
    const auto scoreOf = [hash](const std::string &region, double share) {
        return -share / std::log(unitOf(combineHashes(hashOf(region), hash)));
    };
    const std::string *best = &m_own;
    double bestScore = scoreOf(m_own, ownBoost * std::max(0.0, 1 - total()));
    for (const auto &[region, share] : m_shares) {
        const double score = scoreOf(region, share);
        if (score > bestScore) {
            best = &region;
            bestScore = score;
        }
    }
    return *best;
}

} // namespace buckthorngrade
