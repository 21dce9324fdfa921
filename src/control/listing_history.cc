#include "control/listing_history.h"

#include "link/listing_messages.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

// The time is left out, but for the end of cold periods in the list's own reading.
std::uint64_t digestOf(const upstream_listing &listing, std::uint64_t previous)
{
    std::string text = fmt::format("{}\n", previous);
    for (const listed_upstream &upstream : listing.upstreams)
        text += fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n", upstream.id, upstream.service,
                            upstream.address, upstream.failureDomain, upstream.slots,
                            upstream.isDraining, upstream.coldFor.count(), upstream.startedMs);
    return XXH3_64bits(text.data(), text.size()) | 1U; // 0 stands for no list
}

} // namespace

bool listing_history::add(upstream_listing listing)
{
    if (!m_held.empty()) {
        held &last = m_held.back();
        const listing_change change = changeBetween(last.listing, listing);
        if (change.changed.empty() && change.removed.empty()) {
            last.listing = applyChange(last.listing, change);
            return false;
        }
        // Unchanged entries keep the end of their cold period, as they do where the change is
        // applied.
        listing = applyChange(last.listing, change);
    }
    const std::uint64_t digest = digestOf(listing, this->digest());
    m_held.push_back({std::move(listing), digest});
    if (m_held.size() > maxKept)
        m_held.pop_front();
    return true;
}

bool listing_history::merge(const listing_change &change)
{
    return add(applyChange(m_held.back().listing, change));
}

bool listing_history::keepOnly(const upstream_listing &listing)
{
    const listing_change change = changeBetween(m_held.back().listing, listing);
    return merge({listing.readAt, {}, change.removed});
}

void listing_history::answer(const wire::node_report &report, steady_time now,
                             wire::node_view &view) const
{
    if (m_held.empty())
        return;
    const held &last = m_held.back();
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - last.listing.readAt);
    if (last.digest != report.listing_digest() && report.listing_digest() != 0
        && age.count() >= report.listing_age_ms())
        return;
    view.set_listing_digest(last.digest);
    view.set_listing_age_ms(age.count());
    if (last.digest == report.listing_digest())
        return;
    const auto base = std::ranges::find(m_held, report.listing_digest(), &held::digest);
    if (base == m_held.end()) {
        for (const listed_upstream &upstream : last.listing.upstreams)
            encodeUpstream(upstream, *view.add_upstreams());
        return;
    }
    const listing_change change = changeBetween(base->listing, last.listing);
    view.set_listing_base(base->digest);
    for (const listed_upstream &upstream : change.changed)
        encodeUpstream(upstream, *view.add_upstreams());
    for (const std::string &id : change.removed)
        view.add_removed_upstreams(id);
}

} // namespace buckthorngrade
