#include "steering/peer_view.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

peer_view::peer_view(std::string self)
    : m_self(std::move(self))
{ }

bool peer_view::update(const std::vector<peer_instance> &named, boot_time now)
{
    for (const peer_instance &instance : named)
        m_records[instance.name] = {instance.region, now};
    std::erase_if(m_records,
                  [now](const auto &item) { return now - item.second.namedAt > memory; });
    if (std::ranges::find(named, m_self, &peer_instance::name) != named.end()) {
        if (!m_isNamed || now - m_namedAt > validity)
            m_joinedAt = now;
        m_isNamed = true;
        m_namedAt = now;
    }
    std::vector<peer_instance> peers;
    peers.reserve(m_records.size());
    for (const auto &[name, known] : m_records)
        peers.push_back({name, known.region});
    const bool hasChanged
        = !std::ranges::equal(peers, m_peers, {}, &peer_instance::name, &peer_instance::name);
    m_peers = std::move(peers);
    return hasChanged;
}

bool peer_view::isSettled(boot_time now, std::chrono::milliseconds time) const
{
    return m_isNamed && now - m_namedAt <= validity && now - m_joinedAt >= time;
}

std::chrono::milliseconds peer_view::age(boot_time now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_namedAt);
}

} // namespace buckthorngrade
