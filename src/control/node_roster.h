#pragma once

#include "base/clock.h"
#include "link.pb.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Entry instances as they report to this control instance. An instance that was silent for three of
// its periods is left out, and one that was silent for `forgetAfter` is forgotten. Thread-safe.
class node_roster
{
public:
    // Time without a report in which one may be on its way late.
    static constexpr std::chrono::milliseconds shortestSilence{1'600};
    static constexpr std::chrono::milliseconds longestSilence{4'000};
    static constexpr std::chrono::seconds forgetAfter{15};

    struct entry
    {
        std::string instance;
        std::string address; // "IP:port" for callers
        std::string region;
        std::string failureDomain;
        bool isReady = false; // and not leaving
    };

    void update(const wire::node_report &report, steady_time now);
    // Instances heard recently, by name.
    std::vector<entry> live(steady_time now) const;
    // Sums over the instances heard recently, by service and region.
    std::vector<wire::region_load> loads(steady_time now) const;

private:
    struct record
    {
        std::uint64_t incarnation = 0;
        entry last;
        std::vector<wire::region_load> loads;
        steady_time heardAt;
        std::chrono::milliseconds silenceLimit{};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, record> m_records;
};

} // namespace buckthorngrade
