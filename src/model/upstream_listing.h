#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// One upstream as the deployment's list of instances names it.
struct listed_upstream
{
    std::string id; // of one lifetime, mostly
    std::string service;
    std::string address; // "IP:port"
    std::string failureDomain;
    std::uint32_t slots = 1; // requests that it runs at the same time
    bool isDraining = false;
    std::chrono::milliseconds coldFor{0}; // from the reading of the list on
    std::int64_t startedMs = 0; // Unix time; 0: unknown

    bool operator==(const listed_upstream &) const = default;
};

// The whole list, as it was read at one moment.
struct upstream_listing
{
    steady_time readAt{};
    std::vector<listed_upstream> upstreams; // ordered by id
};

} // namespace buckthorngrade
