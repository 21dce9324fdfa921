#pragma once

#include "base/clock.h"
#include "link.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace buckthorngrade {

// The request limits that upstreams named to any entry instance, as reported by the entry
// instances, and the ends of these limits. The newest observation of each upstream counts. Each
// change gets a version, so that an entry instance gets only what it does not know yet.
// Thread-safe.
class upstream_limit_table
{
public:
    // A limit that was confirmed this much later than it was passed on last is passed on again.
    static constexpr std::chrono::milliseconds refreshInterval{5'000};
    // An observation without a newer one for this time is deleted. Entry instances keep it.
    static constexpr std::chrono::seconds retention{60};
    static constexpr std::size_t maxUpstreams = 8'192;

    // `epoch` distinguishes the versions of this table from those of other control instances and
    // of earlier processes. Must not be 0.
    explicit upstream_limit_table(std::uint64_t epoch);

    // Records the observations in a report. Ignores unreadable ones, and new upstreams while the
    // table is full.
    void update(const wire::node_report &report, steady_time now);
    // Adds the observations that the reporter does not know.
    void addUpdate(const wire::node_report &report, steady_time now, wire::node_view &view) const;

private:
    struct record
    {
        std::optional<double> perSecond; // nullopt: the limit has ended
        steady_time observedAt;
        steady_time passedOnAt; // the time of observation that has `version`
        std::uint64_t version = 0;
    };

    const std::uint64_t m_epoch;
    mutable std::mutex m_mutex;
    std::uint64_t m_version = 0;
    std::map<std::pair<std::string, std::int64_t>, record> m_records; // by id and start time
};

} // namespace buckthorngrade
