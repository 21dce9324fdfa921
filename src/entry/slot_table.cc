#include "entry/slot_table.h"

#include <algorithm>

namespace buckthorngrade {

slot_table::slot_table(const topology &deployment)
{
    for (std::size_t s = 0; s < deployment.services.size(); ++s) {
        const service_spec &service = deployment.services[s];
        m_rows.emplace_back(service.upstreams.size());
        for (std::size_t u = 0; u < service.upstreams.size(); ++u)
            m_index[{service.name, service.upstreams[u].name}] = {s, u};
    }
    m_isAllocated = m_index.empty();
}

std::vector<slot_table::row_report> slot_table::report(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<row_report> result;
    for (const auto &[names, position] : m_index) {
        const row &item = m_rows[position.first][position.second];
        result.push_back({names.first, names.second, item.lease.allowed(now), item.inFlight,
                          item.lease.epoch()});
    }
    return result;
}

void slot_table::applyGrants(std::uint64_t term, const std::vector<row_grant> &grants,
                             steady_time reportSentAt)
{
    const std::lock_guard lock(m_mutex);
    for (auto &service : m_rows)
        for (row &item : service)
            item.lease.observeTerm(term);
    for (const row_grant &granted : grants) {
        const auto found = m_index.find({granted.service, granted.upstream});
        m_isAllocated = m_isAllocated || granted.grant.slots > 0;
        if (found != m_index.end())
            m_rows[found->second.first][found->second.second].lease.apply(granted.grant,
                                                                          reportSentAt);
    }
}

void slot_table::renewByProof(steady_time probeSentAt, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &service : m_rows)
        for (row &item : service)
            item.lease.renewByProof(probeSentAt, now);
}

std::vector<slot_table::usage> slot_table::usageOf(std::size_t service, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<usage> result;
    for (const row &item : m_rows[service])
        result.push_back({item.lease.allowed(now), item.inFlight});
    return result;
}

bool slot_table::tryAcquire(std::size_t service, std::size_t upstream, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    row &item = m_rows[service][upstream];
    if (item.inFlight >= item.lease.allowed(now))
        return false;
    ++item.inFlight;
    return true;
}

void slot_table::release(std::size_t service, std::size_t upstream)
{
    const std::lock_guard lock(m_mutex);
    --m_rows[service][upstream].inFlight;
}

std::uint32_t slot_table::totalInFlight() const
{
    const std::lock_guard lock(m_mutex);
    std::uint32_t total = 0;
    for (const auto &service : m_rows)
        for (const row &item : service)
            total += item.inFlight;
    return total;
}

double slot_table::load(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    double used = 0;
    double allowed = 0;
    for (const auto &service : m_rows)
        for (const row &item : service) {
            used += item.inFlight;
            allowed += item.lease.allowed(now);
        }
    return allowed > 0 ? std::min(used / allowed, 1.0) : 0.0;
}

bool slot_table::isAllocated() const
{
    const std::lock_guard lock(m_mutex);
    return m_isAllocated;
}

} // namespace buckthorngrade
