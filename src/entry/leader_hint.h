#pragma once

#include <atomic>
#include <cstdint>

namespace buckthorngrade {

// The control leader as last heard from any control instance. Only a hint: whoever is asked says
// whether it is the leader. Thread-safe.
class leader_hint
{
public:
    // 0, for unknown, is ignored, because an outdated hint is better than none.
    void observe(std::uint32_t leader)
    {
        if (leader != 0)
            m_leader = leader;
    }
    // 0 until one was heard of.
    std::uint32_t leader() const { return m_leader; }

private:
    std::atomic<std::uint32_t> m_leader = 0;
};

} // namespace buckthorngrade
