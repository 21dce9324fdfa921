#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace buckthorngrade {

// What an upstream said about its request limit in one response.
struct limit_observation
{
    std::optional<double> perSecond; // nullopt: it named no limit
    steady_time at;
};

// What one process of an upstream said in its responses about further requests: that it is leaving,
// that it wants none for a while, or how many it takes per second from all entry instances
// together. There is one object for each lifetime of an upstream (its id and start time), so a
// restarted process starts without notices. It has no clock, and is not thread-safe.
class upstream_notices
{
public:
    // Longer periods are shortened to this one, so that a wrong number does not take an upstream
    // out for good.
    static constexpr std::chrono::seconds maxQuietPeriod{300};
    // Requests per second. Higher limits are lowered to this one, which no upstream reaches.
    static constexpr double maxRequestLimit = 1e6;
    // Twice the time after which a confirmed limit is shared again.
    static constexpr std::chrono::seconds limitCheckDelay{10};
    static constexpr std::chrono::seconds limitShareInterval{5};

    // Returns whether this is the first notice that it leaves.
    bool recordLeaving();
    // The upstream rejected a request and wants none for `period`. An earlier period that ends
    // later stays in force.
    void recordQuiet(steady_time now, std::chrono::milliseconds period);
    // The upstream responded without asking for a quiet period.
    void recordResponse(steady_time now);

    // Record what a response to this instance, or to another one, said about the request limit. The
    // latest response counts. Return whether the limit changed.
    bool recordLimit(const limit_observation &observation);
    bool recordSharedLimit(const limit_observation &observation);

    bool isLeaving() const { return m_isLeaving; }
    bool isQuiet(steady_time now) const { return now < m_quietUntil; }
    steady_time quietUntil() const { return m_quietUntil; }
    // Returns whether a quiet period has ended and the upstream has not responded since. It should
    // get single requests only until it does.
    bool isReturning(steady_time now) const { return m_mustProve && !isQuiet(now); }
    // Requests per second from all entry instances together, or nullopt if there is no limit.
    std::optional<double> requestLimit() const { return m_requestLimit; }
    // When it named a limit for the first time.
    steady_time limitedSince() const { return m_limitedSince; }
    // Time of the last response that confirmed the limit, or named none.
    steady_time limitObservedAt() const { return m_limitObservedAt; }
    // Returns the last observation of this instance if the others do not know it: it differs from
    // the last shared one, or confirms it `limitShareInterval` later.
    std::optional<limit_observation> unsharedLimit() const;
    // Returns whether it is limited and no response said so for `limitCheckDelay`. It should get
    // the next request that its limit permits, which shows whether the limit still holds.
    bool needsLimitCheck(steady_time now) const
    {
        return m_requestLimit && now - m_limitObservedAt >= limitCheckDelay;
    }

private:
    bool applyLimit(const limit_observation &observation);

    bool m_isLeaving = false;
    bool m_mustProve = false; // no response since the last quiet period
    steady_time m_quietUntil = steady_time::min();
    std::optional<double> m_requestLimit;
    steady_time m_limitedSince = steady_time::min();
    steady_time m_limitObservedAt = steady_time::min();
    std::optional<limit_observation> m_ownLimit; // set once it has named a limit
    std::optional<limit_observation> m_sharedLimit;
};

} // namespace buckthorngrade
