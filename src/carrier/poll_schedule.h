#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace buckthorngrade {

// Determines when an entry instance polls the control instances.
//
// All entry instances of a deployment start at the same time, and each polls every control
// instance. To limit the load on the control instances, the poll period grows until the instance is
// ready, and is proportional to the number of instances after that. Jitter spreads the polls over
// time.
class poll_schedule
{
public:
    static constexpr std::chrono::milliseconds initialPeriod{100};
    static constexpr std::chrono::milliseconds minPeriod{500};
    // Control instances learn within 1.1 s that an upstream is leaving, and it may get requests for
    // 3 s.
    static constexpr std::chrono::milliseconds maxPeriod{1'000};
    // Limit on the polls that one control instance gets. A poll takes 0.2 ms of CPU time there
    // (docs/CAPACITY.md), and a control instance has 0.15 of a core.
    static constexpr std::size_t maxPollsPerSecond = 200;

    explicit poll_schedule(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    { }

    void setReady() { m_isReady = true; }
    // Sets the number of entry instances, including this one.
    void setInstanceCount(std::size_t count) { m_instances = count; }
    // Returns the time between polls without jitter.
    std::chrono::milliseconds period() const;
    // Returns the time from the current poll to the next one, with jitter.
    std::chrono::milliseconds nextDelay();

private:
    // The period grows by half with each poll until the instance is ready.
    static constexpr int growthDivisor = 2;

    std::minstd_rand m_random;
    std::chrono::milliseconds m_startPeriod = initialPeriod;
    std::size_t m_instances = 1;
    bool m_isReady = false;
};

} // namespace buckthorngrade
