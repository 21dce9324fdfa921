#pragma once

#include "base/clock.h"

#include <chrono>
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
        // Start of the confirmations of this term that follow each other without a gap. Within a
        // shorter gap no majority can find out that there is no leader, because the shortest
        // election timeout is as long.
        steady_time unbrokenSince;
    };
    static constexpr std::chrono::seconds longestGap{1};

    // Keeps `newer` if it is later than what is known. Its unbrokenSince is ignored.
    void update(value newer)
    {
        const std::lock_guard lock(m_mutex);
        if (m_value && m_value->at >= newer.at)
            return;
        const bool continues
            = m_value && m_value->term == newer.term && newer.at - m_value->at <= longestGap;
        newer.unbrokenSince = continues ? m_value->unbrokenSince : newer.at;
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
