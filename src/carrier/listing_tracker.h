#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

#include <chrono>
#include <cstdint>

namespace buckthorngrade {

// Tracks the list of upstreams of an entry instance through the views of control instances. Lists
// that were read earlier than the current one are ignored.
class listing_tracker
{
public:
    // Adds the digest and the age of the current list to a report.
    void describe(steady_time now, wire::node_report &report) const;
    // Applies the full list or the changes in a view. Returns whether the upstreams changed.
    bool apply(const wire::node_view &view, steady_time now);
    bool isEmpty() const { return m_digest == 0; }
    // Returns whether a control instance has read this list within `maxAge`.
    bool isRecent(steady_time now, std::chrono::milliseconds maxAge) const
    {
        return !isEmpty() && now - m_confirmedAt <= maxAge;
    }
    const upstream_listing &listing() const { return m_listing; }

private:
    upstream_listing m_listing;
    std::uint64_t m_digest = 0;
    steady_time m_confirmedAt = steady_time::min(); // when a control instance last read this list
};

} // namespace buckthorngrade
