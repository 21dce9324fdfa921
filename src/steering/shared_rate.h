#pragma once

#include "steering/peer_view.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Division of the requests that an upstream takes from all entry instances together. All instances
// compute the same shares from the same peers without coordination. A share is a number of whole
// requests, because with many instances an equal part of a low rate is less than one request.

// What one instance may send to an upstream: at most `requests` within any `interval`.
struct rate_share
{
    std::uint32_t requests = 0;
    std::chrono::milliseconds interval{0};
};

// Returns the position of `self` in the order in which instances get whole requests of an
// upstream's rate: instances in the upstream's region come first, then the order follows a hash of
// instance and upstream. Returns nullopt while `self` is not in `instances`.
std::optional<std::size_t> shareRank(const std::vector<peer_instance> &instances,
                                     std::string_view self, std::string_view upstream,
                                     std::string_view upstreamRegion);

// Longer than the second over which the limit of a cold upstream applies, so that two requests of
// an instance do not arrive within one second when the first one is delayed in transit.
constexpr std::chrono::milliseconds coldStartInterval{1'100};

// Returns how many requests the instance `self` may send to a cold upstream within
// `coldStartInterval`, so that all instances together stay within `perSecond`. The rate is divided
// evenly in whole requests; if there are more instances than requests, only the first ones get one.
// Returns 0 for an instance that gets nothing, and while `self` is not in `instances` because the
// peers are not known.
rate_share coldStartShare(const std::vector<peer_instance> &instances, std::string_view self,
                          std::string_view upstream, std::string_view upstreamRegion,
                          double perSecond);

// The limit that an upstream names is divided over this time, or over the time between two requests
// if that is longer.
constexpr std::chrono::milliseconds requestLimitInterval{4'000};
// The sum of the shares is the limit times this factor if there are several instances. The requests
// for an upstream are distributed unevenly among them, so some do not use their shares. An upstream
// permits 1.5 times its limit over a few seconds.
constexpr double limitOvercommitment = 1.25;
// A lower limit is raised to this one, in requests per second. Without any request, an upstream
// could not say that its limit is over.
constexpr double minRequestLimit = 0.1;

// Returns the share of the instance with the position `rank` of `instanceCount` in the requests
// that an upstream takes. The shares of all instances sum up to `perSecond`, times
// limitOvercommitment if there are several, rounded down to whole requests.
rate_share requestLimitShare(double perSecond, std::size_t instanceCount, std::size_t rank);

// Returns the share of an instance without one in requestLimitShare(). It may be used once the
// upstream's limit was not confirmed by any instance for the share's interval, so that an instance
// without contact to the others notices the end of a limit. These requests of all instances
// together are at most a quarter of `perSecond`, spread evenly.
rate_share limitProbeShare(double perSecond, std::size_t instanceCount, std::size_t rank);

} // namespace buckthorngrade
