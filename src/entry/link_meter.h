#pragma once

#include "base/clock.h"
#include "model/settings.h"
#include "steering/link_budget.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace buckthorngrade {

// This instance's share of the links between its region and the others. Thread-safe.
//
// A direction carries the request bodies of its source region's entry instances and the response
// bodies for its target region's. Each of the two kinds gets half of the rate, divided evenly among
// the entry instances that cause it.
class link_meter
{
public:
    enum class direction { request, response };

    // References must outlive this.
    link_meter(const settings &config, const clock_source &clock);

    // Entry instances in this instance's region; at least 1.
    void setInstances(std::size_t count);
    // True for regions without a link in the settings, whose traffic is not limited.
    bool mayStart(const std::string &region) const;
    // Accounts for bytes exchanged with `region` and waits until the link has budget again, at
    // most until `deadline`.
    void pace(const std::string &region, direction way, std::uint64_t bytes, steady_time deadline);

private:
    struct link
    {
        std::uint64_t rate = 0;
        link_budget budget;
    };
    using key = std::pair<std::string, direction>;

    const clock_source &m_clock;
    mutable std::mutex m_mutex;
    std::map<key, link> m_links;
};

} // namespace buckthorngrade
