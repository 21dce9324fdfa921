#pragma once

#include "base/clock.h"
#include "steering/peer_view.h"

#include <chrono>
#include <cstdint>
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

// Spaces the requests of this instance to one cold upstream.
class cold_gate
{
public:
    // Counts a request if fewer than `share` were sent within coldInterval.
    bool tryTake(steady_time now, std::uint32_t share);
    bool isOpen(steady_time now, std::uint32_t share);

private:
    std::vector<steady_time> m_sent;
};

} // namespace buckthorngrade
