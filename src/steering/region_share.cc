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
    const auto weightOf = [this](const auto &item) {
        return item.second.slots * (item.first == m_own ? m_limits.homeWeight : 1);
    };
    double weights = 0;
    for (const auto &item : regions)
        weights += weightOf(item);
    m_isStarted = true;
    m_shares.clear();
    for (const auto &item : regions)
        if (item.first != m_own && item.second.slots > 0)
            m_shares[item.first] = weightOf(item) / weights;
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
    if (m_isForced || !m_isStarted) {
        m_isForced = false;
        m_changedAt = now;
        start(regions);
        return m_isStarted;
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
    if (most == nullptr || most->second.utilization < m_limits.highUtilization)
        return false;
    // The most loaded region gives to the least loaded one, which may be the own.
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
