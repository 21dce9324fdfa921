#include "steering/peer_view.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

peer_view::peer_view(std::string self)
    : m_self(std::move(self))
{ }

bool peer_view::update(const std::vector<peer_instance> &listed, boot_time now)
{
    for (const peer_instance &instance : listed)
        m_records[instance.name] = {instance.region, now};
    std::erase_if(m_records,
                  [now](const auto &item) { return now - item.second.lastListedAt > retention; });
    if (std::ranges::find(listed, m_self, &peer_instance::name) != listed.end()) {
        if (!m_wasListed || now - m_lastListedAt > validity)
            m_listedSince = now;
        m_wasListed = true;
        m_lastListedAt = now;
    }
    std::vector<peer_instance> peers;
    peers.reserve(m_records.size());
    for (const auto &[name, peer] : m_records)
        peers.push_back({name, peer.region});
    const bool hasChanged
        = !std::ranges::equal(peers, m_peers, {}, &peer_instance::name, &peer_instance::name);
    m_peers = std::move(peers);
    m_revision += hasChanged ? 1 : 0;
    return hasChanged;
}

bool peer_view::isListedFor(boot_time now, std::chrono::milliseconds time) const
{
    return m_wasListed && now - m_lastListedAt <= validity && now - m_listedSince >= time;
}

std::chrono::milliseconds peer_view::age(boot_time now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastListedAt);
}

} // namespace buckthorngrade
