#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

#include <cstdint>

namespace buckthorngrade {

// The list of upstreams that an entry instance uses, kept up to date from the answers of control
// instances. It never goes back to an older reading.
class listing_follower
{
public:
    // Says in a report which list is in use.
    void describe(steady_time now, wire::node_report &report) const;
    // Takes what an answer has of the list. Returns whether the upstreams changed.
    bool apply(const wire::node_view &view, steady_time now);
    bool isEmpty() const { return m_digest == 0; }
    const upstream_listing &listing() const { return m_listing; }

private:
    upstream_listing m_listing;
    std::uint64_t m_digest = 0;
    steady_time m_confirmedAt = steady_time::min(); // when the list in use was last read
};

} // namespace buckthorngrade
