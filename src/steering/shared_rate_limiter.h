#pragma once

#include "base/clock.h"
#include "steering/shared_rate.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthorngrade {

// Limits the rate of requests from this instance to one upstream to the instance's share of a rate
// that holds over all instances. A request counts from its reservation until the share's interval
// after its first byte was sent. Counting from the reservation alone is not enough, because
// connecting to another region takes longer than the margin that the interval leaves.
class shared_rate_limiter
{
public:
    // Reserves capacity for a request if fewer than `share` allows count. Returns whether it did.
    bool tryReserve(steady_time now, const rate_share &share);
    // Returns whether fewer requests than `share` allows count.
    bool hasCapacity(steady_time now, const rate_share &share);
    // Returns whether no request counts within `interval`.
    bool isIdle(steady_time now, std::chrono::milliseconds interval);
    // Records that a request with a reservation was sent.
    void recordSent(steady_time now);
    // Cancels the reservation of a request that will not be sent.
    void release();

private:
    std::vector<steady_time> m_sent;
    std::uint32_t m_reserved = 0; // Requests with a reservation that are not sent yet.
};

// Owns the reservation of one request at a shared_rate_limiter. The destructor cancels the
// reservation unless the request was sent.
class rate_permit
{
public:
    // For a request that is not limited.
    rate_permit() = default;
    // Takes ownership of a reservation that was made with `share`.
    rate_permit(std::shared_ptr<shared_rate_limiter> limiter, const rate_share &share);
    rate_permit(rate_permit &&other) noexcept;
    rate_permit &operator=(rate_permit &&other) noexcept;
    ~rate_permit();

    bool isHeld() const { return m_limiter != nullptr; }
    // The share with which the reservation was made.
    const rate_share &share() const { return m_share; }
    void recordSent(steady_time now);

private:
    std::shared_ptr<shared_rate_limiter> m_limiter; // Null after the request was sent.
    rate_share m_share;
};

} // namespace buckthorngrade
