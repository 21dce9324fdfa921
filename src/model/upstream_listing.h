#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// An upstream entry in the deployment's list of instances.
struct listed_upstream
{
    std::string id; // usually changes when the upstream restarts
    std::string service;
    std::string address; // "IP:port"
    std::string failureDomain;
    std::uint32_t slots = 1; // maximum concurrent requests
    bool isDraining = false;
    std::chrono::milliseconds coldFor{0}; // remaining cold period when the list was read
    std::int64_t startedMs = 0; // Unix time; 0: unknown

    bool operator==(const listed_upstream &) const = default;
};

// The complete list as read at one time.
struct upstream_listing
{
    steady_time readAt{};
    std::vector<listed_upstream> upstreams; // ordered by id
};

// The difference between a list and an earlier one.
struct listing_change
{
    steady_time readAt{}; // of the later list
    std::vector<listed_upstream> changed; // new or different, ordered by id
    std::vector<std::string> removed; // ids
};

// Returns whether two entries of one upstream differ by more than the time between the two reads
// explains. The computed end of a cold period varies between reads because both the remaining time
// and the read time are rounded and delayed. Small variations don't count as a difference.
bool differs(const listed_upstream &before, steady_time beforeReadAt, const listed_upstream &after,
             steady_time afterReadAt);
listing_change changeBetween(const upstream_listing &before, const upstream_listing &after);
// Returns the later list. Unchanged entries keep the end of their cold period.
upstream_listing applyChange(const upstream_listing &before, const listing_change &change);

} // namespace buckthorngrade
