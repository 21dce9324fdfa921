#pragma once

#include "base/clock.h"
#include "steering/peer_view.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Returns how many requests the instance `self` may send to a cold upstream within
// `coldStartInterval`, so that all instances together stay within `perSecond`. The rate is divided
// evenly in whole requests; if there are more instances than requests, only the first ones get one.
// All instances compute the same order without coordination: instances in the upstream's region
// come first, then the order follows a hash of instance and upstream. Returns 0 for an instance
// that gets nothing, and while `self` is not in `instances` because the peers are not known.
std::uint32_t coldStartShare(const std::vector<peer_instance> &instances, std::string_view self,
                             std::string_view upstream, std::string_view upstreamRegion,
                             double perSecond);

// Longer than the second over which the limit applies, so that two requests of an instance do not
// arrive within one second when the first one is delayed in transit.
constexpr std::chrono::milliseconds coldStartInterval{1'100};

// Limits the rate of requests from this instance to one cold upstream. A request counts from its
// reservation until coldStartInterval after its first byte was sent. Counting from the reservation
// alone is not enough, because connecting to another region takes longer than the margin that
// coldStartInterval leaves.
class cold_start_limiter
{
public:
    // Reserves capacity for a request if fewer than `share` requests count. Returns whether it did.
    bool tryReserve(steady_time now, std::uint32_t share);
    // Returns whether fewer than `share` requests count.
    bool hasCapacity(steady_time now, std::uint32_t share);
    // Returns whether no request counts.
    bool isIdle(steady_time now);
    // Records that a request with a reservation was sent.
    void recordSent(steady_time now);
    // Cancels the reservation of a request that will not be sent.
    void release();

private:
    std::vector<steady_time> m_sent;
    std::uint32_t m_reserved = 0; // Requests with a reservation that are not sent yet.
};

// Owns the reservation of one request at a cold_start_limiter. The destructor cancels the
// reservation unless the request was sent.
class cold_start_permit
{
public:
    // For a request to a warm upstream, which is not limited.
    cold_start_permit() = default;
    // Takes ownership of a reservation that was made with `share`.
    cold_start_permit(std::shared_ptr<cold_start_limiter> limiter, std::uint32_t share);
    cold_start_permit(cold_start_permit &&other) noexcept;
    cold_start_permit &operator=(cold_start_permit &&other) noexcept;
    ~cold_start_permit();

    bool isHeld() const { return m_limiter != nullptr; }
    // The share with which the reservation was made.
    std::uint32_t share() const { return m_share; }
    void recordSent(steady_time now);

private:
    std::shared_ptr<cold_start_limiter> m_limiter; // Null after the request was sent.
    std::uint32_t m_share = 0;
};

} // namespace buckthorngrade
