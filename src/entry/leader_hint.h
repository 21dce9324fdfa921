#pragma once

#include <atomic>
#include <cstdint>

namespace buckthorngrade {

// Id of the control leader, as last reported by any control instance. It may be outdated; the
// instance that is called tells whether it is the leader. Thread-safe.
class leader_hint
{
public:
    // Ignores 0, which means unknown, because an outdated hint is better than none.
    void observe(std::uint32_t leader)
    {
        if (leader != 0)
            m_leader = leader;
    }
    // 0 until a leader has been reported.
    std::uint32_t leader() const { return m_leader; }

private:
    std::atomic<std::uint32_t> m_leader = 0;
};

} // namespace buckthorngrade
