#pragma once

#include "base/clock.h"
#include "model/settings.h"
#include "steering/link_budget.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace buckthorngrade {

// Limits the traffic of this instance on the links between its region and other regions to its
// share of their rates. Thread-safe.
//
// Each direction of a link carries request bodies from entry instances in its source region and
// response bodies for entry instances in its target region. Each of the two kinds gets half of the
// rate, divided evenly among the entry instances that cause the traffic.
class link_rate_limiter
{
public:
    enum class traffic_kind { request, response };

    // References must outlive this.
    link_rate_limiter(const settings &config, const clock_source &clock);

    // Sets the number of entry instances in this instance's region; 0 counts as 1.
    void setInstanceCount(std::size_t count);
    // Returns true if both directions of the link to `region` have budget left. Traffic with a
    // region that has no link in the settings is not limited.
    bool mayStart(const std::string &region) const;
    // Counts bytes exchanged with `region` against the budget of the link and waits until it has
    // budget again, at most until `deadline`.
    void pace(const std::string &region, traffic_kind kind, std::uint64_t bytes,
              steady_time deadline);

private:
    struct link
    {
        std::uint64_t rate = 0;
        link_budget budget;
    };
    using key = std::pair<std::string, traffic_kind>;

    const clock_source &m_clock;
    mutable std::mutex m_mutex;
    std::map<key, link> m_links;
};

} // namespace buckthorngrade
