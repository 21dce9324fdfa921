#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngrade {

// A steering profile: how a service weighs latency against headroom and how fast its traffic may
// move between regions. Shares are fractions from 0 to 1. docs/operators.md explains each field.
struct profile
{
    std::string name;
    std::uint64_t version = 0; // assigned by the control instances; 0 in an edit

    double latencyWeight = 0.5;
    double headroomWeight = 0.5;
    std::chrono::milliseconds lookupLifetime{3000};
    double shiftCap = 0.10; // fraction of the receiving region's slots
    std::chrono::milliseconds shiftInterval{10'000}; // interval between steps of at most shiftCap
    double regionLimit = 0.9; // maximum fraction of a region's slots in use
    double reservedShare = 0.25; // fraction of slots that is not leased and never expires
    double retryBudget = 0.10; // retries per first attempt
    std::uint32_t maxRetries = 2;
    std::uint32_t queueLength = 32;
    std::chrono::milliseconds queueTimeout{200};
    std::chrono::milliseconds warmup{30'000};
    std::chrono::milliseconds latencyBound{500}; // a region above it receives no further traffic
    double shedBound = 0.02; // maximum fraction of shed requests, with the same effect
};

// Reads a profile from YAML. Throws settings_error that names every fault with its line: unknown
// or repeated keys, missing units, values out of range.
profile parseProfile(std::string_view yaml);

// Formats the profile as YAML with every field.
std::string formatProfile(const profile &value);

} // namespace buckthorngrade
