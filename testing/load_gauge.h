#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>

namespace buckthorngrade {

// Counts the requests that an upstream runs at the same time, with the history that a lagging load
// endpoint needs. Thread-safe.
class load_gauge
{
public:
    explicit load_gauge(std::uint32_t slots);

    // Takes a slot. False if all are taken and `shed` is set; without `shed`, more requests than
    // slots can run.
    bool tryEnter(bool shed);
    void leave();

    struct counts
    {
        std::uint32_t running = 0;
        std::uint32_t peakRunning = 0;
        std::uint32_t peakOffered = 0; // with the requests that were shed
        std::uint64_t entered = 0;
        std::uint64_t shed = 0;
    };
    counts read() const;
    std::uint32_t slots() const { return m_slots; }
    // Requests that were running `lag` ago; at most a minute ago.
    std::uint32_t runningBefore(std::chrono::milliseconds lag) const;

private:
    void remember();

    const std::uint32_t m_slots;
    mutable std::mutex m_mutex;
    counts m_counts;
    std::deque<std::pair<steady_time, std::uint32_t>> m_history;
};

} // namespace buckthorngrade
