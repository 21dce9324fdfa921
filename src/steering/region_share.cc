#include "steering/region_share.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr double maxTotalShare = 0.95;

} // namespace

region_share::region_share(std::string ownRegion, const limits &bounds)
    : m_own(std::move(ownRegion))
    , m_limits(bounds)
{ }

double region_share::totalShare() const
{
    double sum = 0;
    for (const auto &[region, share] : m_shares)
        sum += share;
    return sum;
}

void region_share::moveAllToOtherRegions(const std::map<std::string, region_state> &regions)
{
    double slots = 0;
    for (const auto &[region, state] : regions)
        slots += region == m_own ? 0 : state.slots;
    m_shares.clear();
    for (const auto &[region, state] : regions)
        if (region != m_own && state.slots > 0)
            m_shares[region] = state.slots / slots;
}

void region_share::setInitialShares(const std::map<std::string, region_state> &regions)
{
    double slots = 0;
    double entries = 0;
    for (const auto &[region, state] : regions) {
        slots += state.slots;
        entries += state.entries;
    }
    const auto slotShare = [&](const region_state &state) { return state.slots / slots; };
    const auto callerShare = [&](const region_state &state) {
        return entries > 0 ? state.entries / entries : 1.0 / static_cast<double>(regions.size());
    };
    m_hasInitialShares = true;
    m_shares.clear();
    const region_state &own = regions.at(m_own);
    const double shareToMove // Share of the own callers' requests.
        = callerShare(own) > 0 ? 1 - slotShare(own) / callerShare(own) : 0;
    if (shareToMove <= 0)
        return;
    double spare = 0;
    for (const auto &[region, state] : regions)
        spare += std::max(0.0, slotShare(state) - callerShare(state));
    for (const auto &[region, state] : regions) {
        const double part = std::max(0.0, slotShare(state) - callerShare(state));
        if (region != m_own && part > 0)
            m_shares[region] = shareToMove * part / spare;
    }
}

bool region_share::returnToOwnRegion(const std::map<std::string, region_state> &regions)
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
        const bool isNew = !m_isOwnRegionLost;
        m_isOwnRegionLost = true;
        m_hasInitialShares = true;
        if (isNew || m_shares.empty())
            moveAllToOtherRegions(regions);
        return isNew;
    }
    m_hasRequests = m_hasRequests || std::ranges::any_of(regions, [](const auto &item) {
                        return item.second.utilization > 0;
                    });
    // Until there are requests, the initial shares are recomputed instead of adjusted, because
    // instances and upstreams may still be joining.
    if (m_isOwnRegionLost || !m_hasInitialShares || !m_hasRequests) {
        const auto before = m_shares;
        const bool hadInitialShares = m_hasInitialShares;
        m_isOwnRegionLost = false;
        m_changedAt = now;
        setInitialShares(regions);
        return !hadInitialShares || m_shares != before;
    }
    if (now - m_changedAt < interval)
        return false;
    m_changedAt = now;
    const double ownUtilization = own->second.utilization;
    const auto isUsable
        = [&](const auto &item) { return item.first != m_own && item.second.slots > 0; };
    const std::pair<const std::string, region_state> *leastUtilized = nullptr;
    const std::pair<const std::string, region_state> *mostUtilized = nullptr;
    for (const auto &item : regions) {
        if (!isUsable(item))
            continue;
        if (leastUtilized == nullptr || item.second.utilization < leastUtilized->second.utilization)
            leastUtilized = &item;
        const auto share = m_shares.find(item.first);
        if (share != m_shares.end() && share->second > 0
            && (mostUtilized == nullptr
                || item.second.utilization > mostUtilized->second.utilization))
            mostUtilized = &item;
    }
    std::erase_if(m_shares, [&](const auto &item) {
        const auto found = regions.find(item.first);
        return found == regions.end() || found->second.slots <= 0;
    });
    if (leastUtilized != nullptr && ownUtilization > m_limits.highUtilization
        && leastUtilized->second.utilization < ownUtilization - m_limits.minUtilizationGap
        && totalShare() < maxTotalShare) {
        m_shares[leastUtilized->first] += m_limits.step;
        return true;
    }
    if (mostUtilized == nullptr)
        return false;
    if (mostUtilized->second.utilization < m_limits.highUtilization)
        return ownUtilization >= m_limits.idleUtilization
            && ownUtilization < m_limits.lowUtilization && returnToOwnRegion(regions);
    // Moves requests from the most utilized other region to the least utilized region, which may be
    // the own one.
    const bool isOwnLeast = leastUtilized == nullptr
        || ownUtilization <= leastUtilized->second.utilization + m_limits.minUtilizationGap / 2;
    const double leastUtilization = isOwnLeast ? ownUtilization : leastUtilized->second.utilization;
    if (mostUtilized->second.utilization < leastUtilization + m_limits.minUtilizationGap)
        return false;
    double &share = m_shares[mostUtilized->first];
    const double moved = std::min(share, m_limits.step);
    share -= moved;
    if (!isOwnLeast)
        m_shares[leastUtilized->first] += moved;
    return true;
}

const std::string &region_share::choose(std::uint64_t hash, double ownWeightFactor) const
{
    const auto scoreOf = [hash](const std::string &region, double share) {
        return -share / std::log(toUnitInterval(combineHashes(hashOf(region), hash)));
    };
    const std::string *best = &m_own;
    double bestScore = scoreOf(m_own, ownWeightFactor * std::max(0.0, 1 - totalShare()));
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
