#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// The list of upstreams that a control instance has, with its recent changes. An entry instance
// that has a recent version of the list is sent only the difference.
//
// One control instance reads the list, and the others copy its versions. An entry instance that
// turns to another control instance, or a control instance that becomes the reader, then continues
// from a version that both know, so that no complete list is sent.
//
// Each change of the list makes a version with a new number. Each entry stores the number of the
// version that changed it last, so the difference from an earlier version consists of the entries
// with a greater number. Merging a page takes time in proportion to the page, and an answer takes
// one pass over the list.
class listing_history
{
public:
    // An entry instance whose version is not among the latest `maxVersions` is sent the whole list.
    // A list of 20 pages that all change makes fewer versions than this within
    // `otherReaderTimeout`.
    static constexpr std::size_t maxVersions = 256;
    // An entry instance that uses the list of another reader is sent this one once its list is this
    // old. An update from a working reader arrives sooner: reading the list takes at most 1 s and
    // the poll of the entry instance at most 1.2 s.
    static constexpr std::chrono::milliseconds otherReaderTimeout{2'500};

    // Replaces the list with one that was read completely. Returns true if it has changed.
    bool add(const upstream_listing &listing);
    // Updates the entries that are in `page` and keeps all others. Returns true if the list has
    // changed. The history must not be empty.
    bool merge(const upstream_listing &page);
    // Removes the upstreams that are not in `listing`, a list that was read completely. Returns
    // true if the list has changed.
    bool keepOnly(const upstream_listing &listing);
    bool isEmpty() const { return m_versions.empty(); }
    // Returns the time at which the list was read. The history must not be empty.
    steady_time readAt() const { return m_readAt; }
    std::size_t upstreamCount() const { return m_items.size(); }
    // Returns a digest that identifies the version of the list, without the time at which it was
    // read; 0 if there is no list.
    std::uint64_t digest() const { return isEmpty() ? 0 : m_versions.back().digest; }

    // Adds to `view` the changes that the reporting instance lacks. Adds nothing if the instance
    // uses a newer list, or the list of another reader that still updates it: during a network
    // partition of the control group two instances read the list, and if each replaced the other's
    // list in turn, the whole lists would saturate links of low bandwidth.
    void addUpdate(const wire::node_report &report, steady_time now, wire::node_view &view) const;

    // Returns the versions after `digest`, for another control instance, or the complete list if
    // that version is not among the latest.
    wire::listing_changes changesSince(std::uint64_t digest, steady_time now) const;
    // Applies the changes of another control instance's list, which was read at `readAt`. Ignores a
    // list that is older than this one, and changes of another version than this one. Returns true
    // if the list has changed. Throws control_error if the changes are malformed.
    bool follow(const wire::listing_changes &changes, steady_time readAt);

private:
    struct item
    {
        listed_upstream upstream; // its cold period is relative to `seenAt`
        steady_time seenAt;
        std::uint64_t changedInVersion = 0; // number of the version that changed the entry last
    };
    struct version
    {
        std::uint64_t digest = 0;
        std::uint64_t number = 0;
    };
    struct removal
    {
        std::string id;
        std::uint64_t number = 0; // number of the version
    };

    // Both apply a change and return it as the text from which the digest of the version is
    // computed; the text is empty if nothing has changed.
    std::string mergeEntries(const upstream_listing &page);
    std::string removeAbsent(const upstream_listing &listing);
    bool finishVersion(steady_time readAt, const std::string &changes);
    // Adds a version and forgets the oldest one beyond the limit.
    void addVersion(std::uint64_t digest);
    void encodeItem(const item &known, wire::node_upstream &message) const;
    bool replaceFollowed(const wire::listing_changes &changes, steady_time readAt);

    std::map<std::string, item> m_items; // keyed by id
    steady_time m_readAt{};
    std::uint64_t m_number = 0; // number of the newest version
    std::deque<version> m_versions; // oldest first
    std::deque<removal> m_removals; // removals after the oldest version, oldest first
};

} // namespace buckthorngrade
