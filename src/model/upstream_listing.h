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

// How one list differs from an earlier one.
struct listing_change
{
    steady_time readAt{}; // of the later list
    std::vector<listed_upstream> changed; // new or different, ordered by id
    std::vector<std::string> removed; // ids
};

// Whether two entries of one upstream differ beyond what the time between their readings explains.
// The end of its cold period moves between readings because both times are rounded and delayed;
// smaller moves are no difference.
bool differs(const listed_upstream &before, steady_time beforeReadAt, const listed_upstream &after,
             steady_time afterReadAt);
listing_change changeBetween(const upstream_listing &before, const upstream_listing &after);
// The later list. Entries that did not change keep the end of their cold period.
upstream_listing applyChange(const upstream_listing &before, const listing_change &change);

} // namespace buckthorngrade
