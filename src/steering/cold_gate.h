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

// How many requests this instance may send to a cold upstream within `coldInterval`, so that all
// instances together stay within `perSecond`. Without asking each other, all give the upstream's
// seats to the same instances: those of its region first, then by a hash of instance and upstream.
// 0 for an instance without a seat, and while the other instances are not known.
std::uint32_t coldShare(const std::vector<peer_instance> &instances, std::string_view self,
                        std::string_view upstream, std::string_view upstreamRegion,
                        double perSecond);

// Longer than the second over which the bound holds, so that two requests of an instance never
// arrive within one second because the first was delayed on its way.
constexpr std::chrono::milliseconds coldInterval{1'100};

// Spaces the requests of this instance to one cold upstream. A request counts from its reservation
// until coldInterval after its first byte was sent, because a connection to another region takes
// longer than the margin of coldInterval.
class cold_gate
{
public:
    // Reserves a place for a request if fewer than `share` count.
    bool tryReserve(steady_time now, std::uint32_t share);
    bool isOpen(steady_time now, std::uint32_t share);
    // No request counts.
    bool isIdle(steady_time now);
    // A request with a place was sent, or given up before that.
    void recordSent(steady_time now);
    void release();

private:
    std::vector<steady_time> m_sent;
    std::uint32_t m_reserved = 0; // not sent yet
};

// The place of one request at a cold_gate; given up at its end unless the request was sent.
class cold_permit
{
public:
    cold_permit() = default; // of a warm upstream: nothing is counted
    // Takes over a reservation.
    cold_permit(std::shared_ptr<cold_gate> gate, std::uint32_t share);
    cold_permit(cold_permit &&other) noexcept;
    cold_permit &operator=(cold_permit &&other) noexcept;
    ~cold_permit();

    bool isHeld() const { return m_gate != nullptr; }
    std::uint32_t share() const { return m_share; } // at the reservation
    void recordSent(steady_time now);

private:
    std::shared_ptr<cold_gate> m_gate; // null once sent
    std::uint32_t m_share = 0;
};

} // namespace buckthorngrade
