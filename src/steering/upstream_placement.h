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
// Uniform in (0, 1).
double unitOf(std::uint64_t hash);

// What is known of an upstream at the moment of a choice.
struct placement_candidate
{
    std::uint64_t hash = 0; // of its id
    double slots = 1;
    double load = 0; // requests that it runs or queues, estimated
    std::chrono::duration<double, std::milli> roundTrip{0}; // network, there and back
    std::chrono::duration<double, std::milli> serviceTime{0}; // of one request, recently
    double failureShare = 0; // of recent attempts, 0 to 1
    bool isWarm = false; // it has handled the object recently
};

struct placement_request
{
    std::optional<std::uint64_t> affinity; // hash of the object; none: any upstream is as good
    std::uint64_t random = 0; // breaks ties without affinity
    std::chrono::duration<double, std::milli> latencyTarget{500};
};

// Picks the upstream where a request is expected to be answered first.
//
// For each candidate the expected time is the network's round trip, the wait for a slot and the
// time of the work, plus what a failure costs times its probability. An object has a first upstream
// (weighted rendezvous hashing by slots), which is likely to have it warm because all entry
// instances send it there; others are charged what warming up costs, unless they are known to have
// handled the object recently. An object therefore stays at its first upstream until the queue
// there costs more than a cold start elsewhere, and a loss of an upstream moves only its own
// objects. Cost: one pass over the candidates.
//
// A cold start takes several times the work, so it is made only where slots are free: under
// overload, cold starts would take the slots that warm requests need, and the queues would never
// shorten again.
//
// Returns the index of the candidate, its expected time and whether a request would wait for a slot
// there, or nothing if there is no candidate.
struct placement
{
    std::size_t index = 0;
    std::chrono::duration<double, std::milli> expected{0};
    bool isFull = false;
    bool isFirst = false; // the object's first upstream
};
std::optional<placement> placeRequest(std::span<const placement_candidate> candidates,
                                      const placement_request &request);

// Expected time of `candidate`; `isFirst`: it is the object's first upstream.
double expectedMs(const placement_candidate &candidate, const placement_request &request,
                  bool isFirst);

} // namespace buckthorngrade
