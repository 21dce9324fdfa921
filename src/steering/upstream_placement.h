#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace buckthorngrade {

std::uint64_t hashOf(std::string_view text);
std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b);
// Maps a hash to a number that is uniformly distributed in (0, 1).
double toUnitInterval(std::uint64_t hash);

// State of an upstream at the time of a placement decision.
struct placement_candidate
{
    std::uint64_t hash = 0; // Hash of the upstream's id.
    double slots = 1;
    double load = 0; // Estimated number of running and queued requests.
    std::chrono::duration<double, std::milli> roundTrip{0}; // Network round trip.
    std::chrono::duration<double, std::milli> serviceTime{0}; // Recent time per request.
    double failureShare = 0; // Fraction of recent attempts that failed, 0 to 1.
    bool isWarm = false; // The upstream has handled the object recently.
};

struct placement_request
{
    // Hash of the requested object. Without it, no upstream is preferred.
    std::optional<std::uint64_t> affinity;
    std::uint64_t random = 0; // Breaks ties if there is no affinity.
    std::chrono::duration<double, std::milli> latencyTarget{500};
};

// Chooses the upstream with the lowest expected response time for a request.
//
// The expected time of a candidate is the sum of the network round trip, the wait for a slot, the
// service time, and the cost of a failure multiplied by its probability. Each object has a
// preferred upstream, given by rendezvous hashing weighted by slots. It is likely to be warm for
// the object because all entry instances send the object there. Any other upstream is charged the
// cost of a cold start, or a smaller cost if it is known to have handled the object recently. An
// object therefore stays at its preferred upstream until the queue there costs more than a cold
// start elsewhere, and the loss of an upstream moves only the objects that preferred it. The
// running time is linear in the number of candidates.
//
// A cold start takes several times the work of a warm request, so an upstream is chosen for one
// only if it has free slots. Under overload, cold starts would otherwise occupy the slots that warm
// requests need, and the queues would not get shorter again.
//
// Returns the index of the candidate, its expected time and whether the request has to wait for a
// slot there, or nothing if there are no candidates.
struct placement
{
    std::size_t index = 0;
    std::chrono::duration<double, std::milli> expected{0};
    bool isFull = false;
    bool isFirst = false; // The candidate is the object's preferred upstream.
};
std::optional<placement> placeRequest(std::span<const placement_candidate> candidates,
                                      const placement_request &request);

// Returns the expected time of `candidate`. `isFirst` says whether it is the object's preferred
// upstream.
double expectedMs(const placement_candidate &candidate, const placement_request &request,
                  bool isFirst);

} // namespace buckthorngrade
