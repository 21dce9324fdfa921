#include "model/upstream_listing.h"

#include <algorithm>
#include <map>
#include <set>

namespace buckthorngrade {

namespace {

// The end of one cold period, computed from different reads of the list, varies by up to 200 ms.
constexpr std::chrono::milliseconds coldEndTolerance{400};

std::map<std::string, const listed_upstream *> byId(const upstream_listing &listing)
{
    std::map<std::string, const listed_upstream *> result;
    for (const listed_upstream &upstream : listing.upstreams)
        result.emplace(upstream.id, &upstream);
    return result;
}

} // namespace

bool differs(const listed_upstream &before, steady_time beforeReadAt, const listed_upstream &after,
             steady_time afterReadAt)
{
    const steady_time endBefore = beforeReadAt + before.coldFor;
    const steady_time endAfter = afterReadAt + after.coldFor;
    if (after.coldFor.count() > 0 && endAfter > endBefore + coldEndTolerance)
        return true;
    listed_upstream same = after;
    same.coldFor = before.coldFor;
    return same != before;
}

listing_change changeBetween(const upstream_listing &before, const upstream_listing &after)
{
    listing_change result;
    result.readAt = after.readAt;
    const auto known = byId(before);
    for (const listed_upstream &upstream : after.upstreams) {
        const auto found = known.find(upstream.id);
        if (found == known.end() || differs(*found->second, before.readAt, upstream, after.readAt))
            result.changed.push_back(upstream);
    }
    const auto present = byId(after);
    for (const auto &[id, upstream] : known)
        if (!present.contains(id))
            result.removed.push_back(id);
    return result;
}

upstream_listing applyChange(const upstream_listing &before, const listing_change &change)
{
    std::map<std::string, listed_upstream> next;
    for (const listed_upstream &upstream : before.upstreams) {
        listed_upstream &kept = next.emplace(upstream.id, upstream).first->second;
        const auto passed
            = std::chrono::ceil<std::chrono::milliseconds>(change.readAt - before.readAt);
        kept.coldFor = std::max(std::chrono::milliseconds(0), upstream.coldFor - passed);
    }
    for (const listed_upstream &upstream : change.changed)
        next.insert_or_assign(upstream.id, upstream);
    for (const std::string &id : change.removed)
        next.erase(id);
    upstream_listing result;
    result.readAt = change.readAt;
    for (auto &[id, upstream] : next)
        result.upstreams.push_back(std::move(upstream));
    return result;
}

} // namespace buckthorngrade
