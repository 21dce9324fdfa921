#pragma once

#include "base/clock.h"
#include "link.pb.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// The entry instances that report to this control instance. An instance is omitted from the results
// after three of its report periods without a report, and its record is deleted `forgetAfter` after
// its last report. Thread-safe.
class entry_instance_table
{
public:
    // Bounds on the time without a report after which an instance is omitted. The lower bound
    // allows for a report that is delayed in transit.
    static constexpr std::chrono::milliseconds minSilenceLimit{1'600};
    static constexpr std::chrono::milliseconds maxSilenceLimit{4'000};
    static constexpr std::chrono::seconds forgetAfter{15};

    struct entry
    {
        std::string instance;
        std::string address; // "IP:port" for callers
        std::string region;
        std::string failureDomain;
        bool isReady = false; // false also while it is leaving
    };

    void update(const wire::node_report &report, steady_time now);
    // Returns the instances that reported recently, sorted by name.
    std::vector<entry> live(steady_time now) const;
    // Returns the loads for each service and region, summed over the instances that reported
    // recently.
    std::vector<wire::region_load> loads(steady_time now) const;

private:
    struct record
    {
        std::uint64_t incarnation = 0;
        entry last;
        std::vector<wire::region_load> loads;
        steady_time lastReportAt;
        std::chrono::milliseconds silenceLimit{};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, record> m_records;
};

} // namespace buckthorngrade
