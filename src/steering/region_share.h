#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace buckthorngrade {

// State of a service in one region, for the choice of regions.
struct region_state
{
    double slots = 0; // of usable upstreams
    double entries = 0; // entry instances, which are deployed in proportion to the callers
    double utilization = 0; // requests running and waiting, for each slot
};

// Which share of one region's requests to a service other regions serve.
//
// At the start nothing is warm, and a region with few upstreams for its callers would be overloaded
// by them. So a region keeps the part of its callers' requests that its part of the slots is meant
// for; the rest goes where slots are left. Then the share follows utilization, by at most `step` in
// an interval: away from a region that is highly utilized, and home again when the own region has
// room, because a request to another region costs a round trip and bytes between regions. The
// callers' region may change only so fast, because a fast shift meets cold upstreams and overshoots
// on measurements that lag. Only the loss of all upstreams in the own region moves everything at
// once. Which requests leave is decided by a hash of their object, so that an object moves once and
// stays.
class region_share
{
public:
    static constexpr std::chrono::milliseconds interval{2'000};

    struct limits
    {
        double step = 0.05; // share of requests that may change region in an interval
        double highUtilization = 0.75; // of a region, above which others take its requests
        double least = 0.2; // difference of utilization that makes a move worthwhile
        double lowUtilization = 0.45; // of the own region, below which requests come home
        double idleUtilization = 0.08; // below which there are too few requests to judge by
    };

    region_share(std::string ownRegion, const limits &bounds);

    // Called often with the present state of all regions. Returns true if the shares changed.
    bool update(const std::map<std::string, region_state> &regions, steady_time now);
    // Region for a request with the hash of its object, or with random bits. A change of a share
    // moves only as many objects as it must (weighted rendezvous hashing).
    // `ownBoost` is a factor on the own region's weight, for requests that are costly to move.
    const std::string &choose(std::uint64_t hash, double ownBoost = 1) const;
    // Share of each other region.
    const std::map<std::string, double> &shares() const { return m_shares; }

private:
    void start(const std::map<std::string, region_state> &regions);
    // Moves a step from the most utilized other region to the own one.
    bool comeHome(const std::map<std::string, region_state> &regions);
    void leaveHome(const std::map<std::string, region_state> &regions);
    double total() const;

    std::string m_own;
    limits m_limits;
    std::map<std::string, double> m_shares; // of other regions; the rest stays
    bool m_isStarted = false;
    bool m_hasRequests = false; // any region ever had requests
    bool m_isForced = false; // the own region has no upstream
    steady_time m_changedAt;
};

} // namespace buckthorngrade
