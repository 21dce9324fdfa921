#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace buckthorngrade {

// Holds the latest time at which a quorum is known to have confirmed the leader, with the
// configuration revision at that time. Thread-safe.
class leader_confirmation
{
public:
    struct value
    {
        std::uint64_t revision = 0;
        std::uint64_t term = 0;
        steady_time at; // a lower bound of the time of the confirmation
        // Time of the first in the current series of confirmations of this term with no more than
        // `maxGap` between two of them. The shortest election timeout is as long as this gap,
        // so no majority can detect the absence of a leader within it.
        steady_time continuousSince;
    };
    static constexpr std::chrono::seconds maxGap{1};

    // Stores `newer` if it is later than the stored value. Its continuousSince is ignored.
    void update(value newer)
    {
        const std::lock_guard lock(m_mutex);
        if (m_value && m_value->at >= newer.at)
            return;
        const bool continues
            = m_value && m_value->term == newer.term && newer.at - m_value->at <= maxGap;
        newer.continuousSince = continues ? m_value->continuousSince : newer.at;
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
