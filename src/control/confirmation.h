#pragma once

#include "base/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace buckthorngrade {

// The last time that a quorum is known to have confirmed the leader, with the configuration
// revision then. Thread-safe.
class confirmation
{
public:
    struct value
    {
        std::uint64_t revision = 0;
        std::uint64_t term = 0;
        steady_time at; // no later than the confirmation itself
    };

    // Keeps `newer` if it is later than what is known.
    void update(const value &newer)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_value || m_value->at < newer.at)
            m_value = newer;
    }

    std::optional<value> read() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

private:
    mutable std::mutex m_mutex;
    std::optional<value> m_value;
};

} // namespace buckthorngrade
