#include "carrier/details_host_selector.h"

#include "base/ipv4.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthorngrade {

details_host_selector::details_host_selector(const std::string &ownHost)
    : m_own(ipv4FromString(ownHost))
{ }

// Addresses of a failure domain or region share a prefix.
std::string details_host_selector::nearest(const std::set<std::string> &hosts) const
{
    const auto distance = [this](const std::string &host) { return m_own ^ ipv4FromString(host); };
    const auto found = std::ranges::min_element(hosts, {}, distance);
    return found == hosts.end() ? std::string() : *found;
}

std::string details_host_selector::select(const std::set<std::string> &responding,
                                          bool isListRecent, steady_time now)
{
    std::erase_if(m_avoidedUntil, [now](const auto &item) { return now >= item.second; });
    if (isListRecent)
        m_usefulAt = now;
    if (!m_selected.empty() && now - m_usefulAt > responseTime)
        m_avoidedUntil[m_selected] = now + avoidanceTime;
    std::set<std::string> candidates;
    std::ranges::copy_if(
        responding, std::inserter(candidates, candidates.end()),
        [this](const std::string &host) { return !m_avoidedUntil.contains(host); });
    if (candidates.empty() && !responding.empty()) {
        // Every one was tried in vain.
        m_avoidedUntil.clear();
        candidates = responding;
    }
    std::string next = nearest(candidates);
    if (next != m_selected)
        m_usefulAt = now;
    m_selected = std::move(next);
    return m_selected;
}

} // namespace buckthorngrade
