#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace buckthorngrade {

// When an entry instance asks the control instances for news.
//
// All instances of a deployment start at the same moment, and each asks every control instance. So
// that these can keep up, the time between two polls grows until there is something to serve, grows
// with the number of instances after that, and varies, which spreads the polls over time.
class poll_schedule
{
public:
    static constexpr std::chrono::milliseconds firstPeriod{100};
    static constexpr std::chrono::milliseconds shortestPeriod{500};
    // A leaving upstream is known to control within 1.1 s and may get requests for 3 s.
    static constexpr std::chrono::milliseconds longestPeriod{1'000};
    // Of one control instance. A poll takes 0.2 ms of a core there (docs/CAPACITY.md), of which it
    // has 0.15.
    static constexpr std::size_t pollsPerSecond = 200;

    explicit poll_schedule(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    { }

    // The instance became ready, or knows of so many instances, itself included.
    void setReady() { m_isReady = true; }
    void setInstances(std::size_t count) { m_instances = count; }
    // Time between polls, without its variation.
    std::chrono::milliseconds period() const;
    // Time from a poll that is made now to the next one.
    std::chrono::milliseconds nextDelay();

private:
    // Waits until the instance is ready grow by half.
    static constexpr int growthDivisor = 2;

    std::minstd_rand m_random;
    std::chrono::milliseconds m_startPeriod = firstPeriod;
    std::size_t m_instances = 1;
    bool m_isReady = false;
};

} // namespace buckthorngrade
