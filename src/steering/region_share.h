#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace buckthorngrade {

// State of a service in one region.
struct region_state
{
    double slots = 0; // Slots of usable upstreams.
    double entries = 0; // Number of entry instances, which is proportional to the callers.
    double utilization = 0; // Running and waiting requests per slot.
};

// Computes the shares of one region's requests to a service that other regions serve.
//
// At startup no upstream is warm, and a region with few upstreams for its callers would be
// overloaded. A region therefore initially keeps only as many of its callers' requests as
// correspond to its share of all slots; the rest goes to regions with spare slots. Afterwards the
// shares follow the utilization by at most `step` per interval. Requests move away from a highly
// utilized region, and return when the own region has capacity, because a request to another region
// costs a round trip and traffic between regions. The rate of change is limited because a fast
// shift would reach cold upstreams and overshoot on delayed measurements. Only the loss of all
// upstreams in the own region moves all requests at once. A hash of the requested object decides
// which requests move, so that an object moves once and then stays.
class region_share
{
public:
    static constexpr std::chrono::milliseconds interval{2'000};

    struct limits
    {
        double step = 0.05; // Maximum share of requests that changes region per interval.
        double highUtilization = 0.75; // A region above this moves requests to other regions.
        double minUtilizationGap = 0.2; // Minimum difference between two regions for a move.
        double lowUtilization = 0.45; // Requests return if the own region is below this.
        double idleUtilization = 0.08; // Below this there are too few requests to decide a return.
    };

    region_share(std::string ownRegion, const limits &bounds);

    // Must be called periodically with the current state of all regions. Returns true if the shares
    // changed.
    bool update(const std::map<std::string, region_state> &regions, steady_time now);
    // Returns the region for a request. `hash` is the hash of its object, or random bits if it has
    // none. Weighted rendezvous hashing moves no more objects than a change of a share requires.
    // `ownWeightFactor` multiplies the own region's weight, for requests that are expensive to
    // move.
    const std::string &choose(std::uint64_t hash, double ownWeightFactor = 1) const;
    // Share of the requests that each other region serves.
    const std::map<std::string, double> &shares() const { return m_shares; }

private:
    // Sets the initial shares from the slots and the entry instances of all regions.
    void setInitialShares(const std::map<std::string, region_state> &regions);
    // Moves up to `step` from the most utilized other region back to the own region. Returns false
    // if no requests are in other regions.
    bool returnToOwnRegion(const std::map<std::string, region_state> &regions);
    // Divides all requests among the other regions by their slots.
    void moveAllToOtherRegions(const std::map<std::string, region_state> &regions);
    double totalShare() const;

    std::string m_own;
    limits m_limits;
    std::map<std::string, double> m_shares; // By other region. The remaining requests stay.
    bool m_hasInitialShares = false;
    bool m_hasRequests = false; // A region has had requests at least once.
    bool m_isOwnRegionLost = false; // The own region has no usable upstream.
    steady_time m_changedAt;
};

} // namespace buckthorngrade
