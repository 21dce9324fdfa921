#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace buckthorngrade {

// The list of upstreams that a control instance holds, and a few earlier ones, so that an entry
// instance that has one of them is sent the difference only.
class listing_history
{
public:
    // Differences are sent from this many lists back; from older ones the whole list is sent.
    static constexpr std::size_t maxKept = 8;

    // Takes a list that was just read. Returns whether it differs from the one held.
    bool add(upstream_listing listing);
    // The same for a part of the list, or what is gone from it. There must be a list already.
    bool merge(const listing_change &change);
    // Removes upstreams that are not in `listing`, a list that was just read whole.
    bool keepOnly(const upstream_listing &listing);
    bool isEmpty() const { return m_held.empty(); }
    // Of the list held. There must be one.
    steady_time readAt() const { return m_held.back().listing.readAt; }
    std::size_t upstreams() const
    {
        return m_held.empty() ? 0 : m_held.back().listing.upstreams.size();
    }
    // Identifies the list held, without its time; 0: none.
    std::uint64_t digest() const { return m_held.empty() ? 0 : m_held.back().digest; }

    // Adds to `view` what the reporting instance does not know. Nothing if the list that it uses is
    // newer: an instance that does not read the list any more holds an old one, and sending that
    // with every answer would fill thin links.
    void answer(const wire::node_report &report, steady_time now, wire::node_view &view) const;

private:
    struct held
    {
        upstream_listing listing;
        std::uint64_t digest = 0;
    };

    std::deque<held> m_held; // the newest last
};

} // namespace buckthorngrade
