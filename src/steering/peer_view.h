#pragma once

#include "base/boot_clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// Name and location of an entry instance.
struct peer_instance
{
    std::string name;
    std::string region;
};

// One entry instance's view of the entry instances that divide a limit among themselves.
//
// A control instance that has just started, or that receives reports from only some entry
// instances, lists only part of them. An entry instance that took such a list as complete would use
// the shares of the missing instances in addition to its own. A listed instance therefore stays a
// peer for `retention` after it was last listed, and an instance uses its own shares only
//  * while the last answer that lists it is at most `validity` old, and
//  * after it has been listed for `joinDelay`, in which the other instances learn about it.
// `retention` is longer than `validity` plus the time between two answers, so an instance that
// receives no answers stops using its shares before the others redistribute them.
class peer_view
{
public:
    // Covers several polls, which are at most 1.2 s apart, and a leader election.
    static constexpr std::chrono::milliseconds validity{3'000};
    // Every instance that uses shares has received an answer within `validity`. One more second
    // covers reports that are still in transit.
    static constexpr std::chrono::milliseconds joinDelay{4'000};
    static constexpr std::chrono::milliseconds retention{6'000};

    explicit peer_view(std::string self);

    // Adds the instances listed in an answer of a control instance and removes peers that have not
    // been listed for `retention`. Returns whether the set of peers changed.
    bool update(const std::vector<peer_instance> &listed, boot_time now);
    // The instances listed within `retention`, ordered by name.
    const std::vector<peer_instance> &peers() const { return m_peers; }
    // Returns whether this instance may use its shares of the divided limits.
    bool mayUseShares(boot_time now) const { return isListedFor(now, joinDelay); }
    // The same for a limit over a sliding `window`. Waits at least for the length of the window, so
    // that any use by this instance or its previous process from the time before it was listed has
    // left the window.
    bool mayUseShares(boot_time now, std::chrono::milliseconds window) const
    {
        return isListedFor(now, std::max(window, joinDelay));
    }
    // Returns whether this instance had been listed for `joinDelay` when it was listed last. Stays
    // true while no answers arrive, for limits that the others may exceed by this instance's share
    // after they have removed it.
    bool hasJoined() const { return m_wasListed && m_lastListedAt - m_listedSince >= joinDelay; }
    // Changes whenever the set of peers does.
    std::uint64_t revision() const { return m_revision; }
    // Time since the last answer that listed this instance.
    std::chrono::milliseconds age(boot_time now) const;

private:
    // Returns whether this instance has been listed without a gap for at least `time`.
    bool isListedFor(boot_time now, std::chrono::milliseconds time) const;

    struct record
    {
        std::string region;
        boot_time lastListedAt;
    };

    std::string m_self;
    std::map<std::string, record> m_records;
    std::vector<peer_instance> m_peers;
    std::uint64_t m_revision = 0;
    bool m_wasListed = false; // This instance was listed at least once.
    boot_time m_lastListedAt; // Last time this instance was listed.
    boot_time m_listedSince; // Start of the period in which it has been listed without a gap.
};

} // namespace buckthorngrade
