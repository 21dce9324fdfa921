#include "carrier/listing_tracker.h"

#include "link/listing_messages.h"

#include <algorithm>
#include <iterator>

namespace buckthorngrade {

void listing_tracker::describe(steady_time now, wire::node_report &report) const
{
    report.set_listing_digest(m_digest);
    if (m_digest != 0)
        report.set_listing_age_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_confirmedAt).count());
}

bool listing_tracker::apply(const wire::node_view &view, steady_time now)
{
    if (view.listing_digest() == 0)
        return false;
    const steady_time readAt = now - std::chrono::milliseconds(view.listing_age_ms());
    if (readAt <= m_confirmedAt)
        return false;
    if (view.listing_digest() == m_digest) {
        m_confirmedAt = readAt;
        return false;
    }
    listing_change change;
    change.readAt = readAt;
    std::ranges::transform(view.upstreams(), std::back_inserter(change.changed), decodeUpstream);
    if (view.listing_base() == 0) {
        // The control instance omits a list that the report names as the one in use, but this
        // instance has applied another list since that report.
        if (view.upstreams_size() == 0 && m_digest != 0)
            return false;
        m_listing = applyChange({}, change);
    } else {
        if (view.listing_base() != m_digest)
            return false;
        change.removed.assign(view.removed_upstreams().begin(), view.removed_upstreams().end());
        m_listing = applyChange(m_listing, change);
    }
    m_digest = view.listing_digest();
    m_confirmedAt = readAt;
    return true;
}

} // namespace buckthorngrade
