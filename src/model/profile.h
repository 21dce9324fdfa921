#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngrade {

// A steering profile: how a service weighs latency against headroom and how fast its traffic may
// move. Shares are 0 to 1. docs/operators.md explains each field.
struct profile
{
    std::string name;
    std::uint64_t version = 0; // set by the control group; 0 in an edit

    double latencyWeight = 0.5;
    double headroomWeight = 0.5;
    std::chrono::milliseconds lookupLifetime{3000};
    double shiftCap = 0.10; // share of the receiving region's slots
    std::chrono::milliseconds shiftInterval{10'000}; // time for one step of shiftCap
    double regionLimit = 0.9; // share of a region's slots in use at most
    double reservedShare = 0.25; // share of slots that outlives a lease
    double retryBudget = 0.10; // retries per first attempt
    std::uint32_t maxRetries = 2;
    std::uint32_t queueLength = 32;
    std::chrono::milliseconds queueTimeout{200};
    std::chrono::milliseconds warmup{30'000};
    std::chrono::milliseconds latencyBound{500}; // a region above it gets no further shift
    double shedBound = 0.02; // share of shed answers, likewise
};

// Reads a profile from YAML. Throws settings_error that names every fault with its line: unknown
// or repeated keys, missing units, values out of range.
profile parseProfile(std::string_view yaml);

// The profile as YAML, with every field.
std::string formatProfile(const profile &value);

} // namespace buckthorngrade
