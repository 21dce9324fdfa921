#include "control/listing_history.h"

#include "control/control_state.h"
#include "link/listing_messages.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

// Returns the text of an entry for the digest. It contains no time of reading, only the length of
// the cold period.
std::string digestText(const listed_upstream &upstream)
{
    return fmt::format("{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n", upstream.id, upstream.service,
                       upstream.address, upstream.failureDomain, upstream.slots,
                       upstream.isDraining, upstream.coldFor.count(), upstream.startedMs);
}

std::uint64_t computeDigest(std::uint64_t previous, const std::string &changes)
{
    return XXH3_64bits_withSeed(changes.data(), changes.size(), previous)
        | 1U; // 0 means that there is no list
}

} // namespace

bool listing_history::add(const upstream_listing &listing)
{
    std::string changes = mergeEntries(listing);
    changes += removeAbsent(listing);
    return finishVersion(listing.readAt, changes);
}

bool listing_history::merge(const upstream_listing &page)
{
    return finishVersion(page.readAt, mergeEntries(page));
}

bool listing_history::keepOnly(const upstream_listing &listing)
{
    return finishVersion(listing.readAt, removeAbsent(listing));
}

std::string listing_history::mergeEntries(const upstream_listing &page)
{
    std::string changes;
    for (const listed_upstream &upstream : page.upstreams) {
        const auto found = m_items.find(upstream.id);
        // An unchanged entry keeps the end of its cold period, as it does in the entry instances
        // that apply the change.
        if (found != m_items.end()
            && !differs(found->second.upstream, found->second.seenAt, upstream, page.readAt))
            continue;
        m_items.insert_or_assign(upstream.id, item{upstream, page.readAt, m_number + 1});
        changes += digestText(upstream);
    }
    return changes;
}

std::string listing_history::removeAbsent(const upstream_listing &listing)
{
    std::set<std::string_view> present;
    for (const listed_upstream &upstream : listing.upstreams)
        present.insert(upstream.id);
    std::string changes;
    std::erase_if(m_items, [&](const auto &known) {
        if (present.contains(known.first))
            return false;
        m_removals.push_back({known.first, m_number + 1});
        changes += fmt::format("-{}\n", known.first);
        return true;
    });
    return changes;
}

bool listing_history::finishVersion(steady_time readAt, const std::string &changes)
{
    m_readAt = readAt;
    if (changes.empty() && !isEmpty())
        return false;
    addVersion(computeDigest(digest(), changes));
    return true;
}

void listing_history::addVersion(std::uint64_t digest)
{
    m_versions.push_back({digest, ++m_number});
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
    while (!m_removals.empty() && m_removals.front().number <= m_versions.front().number)
        m_removals.pop_front();
}

void listing_history::encodeItem(const item &known, wire::node_upstream &message) const
{
    listed_upstream upstream = known.upstream;
    const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(m_readAt - known.seenAt);
    upstream.coldFor = std::max(std::chrono::milliseconds(0), upstream.coldFor - elapsed);
    encodeUpstream(upstream, message);
}

void listing_history::addUpdate(const wire::node_report &report, steady_time now,
                                wire::node_view &view) const
{
    if (isEmpty())
        return;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt);
    const std::chrono::milliseconds reportedAge(report.listing_age_ms());
    const auto base = std::ranges::find(m_versions, report.listing_digest(), &version::digest);
    const bool isUnknownVersion = base == m_versions.end();
    if (digest() != report.listing_digest() && report.listing_digest() != 0
        && (reportedAge <= age || (isUnknownVersion && reportedAge < otherReaderTimeout)))
        return;
    view.set_listing_digest(digest());
    view.set_listing_age_ms(age.count());
    if (digest() == report.listing_digest())
        return;
    const std::uint64_t knownNumber = isUnknownVersion ? 0 : base->number;
    for (const auto &[id, known] : m_items)
        if (known.changedInVersion > knownNumber)
            encodeItem(known, *view.add_upstreams());
    if (isUnknownVersion)
        return;
    view.set_listing_base(base->digest);
    for (const removal &removed : m_removals)
        if (removed.number > knownNumber && !m_items.contains(removed.id))
            view.add_removed_upstreams(removed.id);
}

wire::listing_changes listing_history::changesSince(std::uint64_t digest, steady_time now) const
{
    wire::listing_changes result;
    if (isEmpty())
        return result;
    result.set_has_list(true);
    result.set_age_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt).count());
    const auto base = std::ranges::find(m_versions, digest, &version::digest);
    if (base == m_versions.end()) {
        result.add_versions(this->digest());
        for (const auto &[id, known] : m_items)
            encodeItem(known, *result.add_rows()->mutable_upstream());
        return result;
    }
    result.set_base(digest);
    for (auto next = std::next(base); next != m_versions.end(); ++next)
        result.add_versions(next->digest);
    for (const auto &[id, known] : m_items) {
        if (known.changedInVersion <= base->number)
            continue;
        wire::listed_row &row = *result.add_rows();
        encodeItem(known, *row.mutable_upstream());
        row.set_version(static_cast<std::uint32_t>(known.changedInVersion - base->number));
    }
    for (const removal &removed : m_removals) {
        if (removed.number <= base->number || m_items.contains(removed.id))
            continue;
        wire::removed_row &row = *result.add_removed();
        row.set_id(removed.id);
        row.set_version(static_cast<std::uint32_t>(removed.number - base->number));
    }
    return result;
}

bool listing_history::replaceFollowed(const wire::listing_changes &changes, steady_time readAt)
{
    if (changes.versions_size() != 1 || changes.versions(0) == 0)
        throw control_error("a complete list of upstreams has no version");
    upstream_listing listing;
    listing.readAt = readAt;
    std::ranges::transform(
        changes.rows(), std::back_inserter(listing.upstreams),
        [](const wire::listed_row &row) { return decodeUpstream(row.upstream()); });
    mergeEntries(listing);
    removeAbsent(listing);
    m_readAt = readAt;
    addVersion(changes.versions(0));
    return true;
}

bool listing_history::follow(const wire::listing_changes &changes, steady_time readAt)
{
    if (!changes.has_list() || (!isEmpty() && readAt < m_readAt))
        return false;
    if (changes.base() == 0)
        return replaceFollowed(changes, readAt);
    if (changes.base() != digest())
        return false;
    const auto count = static_cast<std::uint32_t>(changes.versions_size());
    const auto isValid
        = [count](const auto &row) { return row.version() >= 1 && row.version() <= count; };
    if (!std::ranges::all_of(changes.rows(), isValid)
        || !std::ranges::all_of(changes.removed(), isValid))
        throw control_error("a change of the list of upstreams names an unknown version");
    m_readAt = readAt;
    for (const wire::listed_row &row : changes.rows())
        m_items.insert_or_assign(
            row.upstream().id(),
            item{decodeUpstream(row.upstream()), readAt, m_number + row.version()});
    // An upstream that came and went between two copies is not in m_items, but may be in the list
    // of an entry instance that received a version in between.
    for (const wire::removed_row &row : changes.removed()) {
        m_items.erase(row.id());
        m_removals.push_back({row.id(), m_number + row.version()});
    }
    std::ranges::sort(m_removals, {}, &removal::number);
    std::ranges::for_each(changes.versions(), [this](std::uint64_t next) { addVersion(next); });
    return count > 0;
}

} // namespace buckthorngrade
