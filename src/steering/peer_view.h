#pragma once

#include "base/boot_clock.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// Another entry instance, as far as placement is concerned.
struct peer_instance
{
    std::string name;
    std::string region;
};

// The entry instances among which bounds are divided, as one of them knows them.
//
// A control instance that has just started, or that hears only some entry instances, names a part
// of them. An instance that took the part for the whole would use shares of others beside its own.
// So an instance that was named counts for `memory` after it was named last, and an instance uses
// its shares only
//  * while an answer that names it is at most `validity` old, and
//  * once it has been named for `joinTime`, in which the others learn of it.
// `memory` is longer than `validity` and the time between two answers, so an instance that hears
// nobody gives up its shares before the others divide them.
class peer_view
{
public:
    // Several polls of 1.2 s at most, and an election.
    static constexpr std::chrono::milliseconds validity{3'000};
    // Within `validity` all that use shares got an answer; a second for reports on their way.
    static constexpr std::chrono::milliseconds joinTime{4'000};
    static constexpr std::chrono::milliseconds memory{6'000};

    explicit peer_view(std::string self);

    // Takes the instances that a control instance names. Returns whether the peers changed.
    bool update(const std::vector<peer_instance> &named, boot_time now);
    // All that were named within `memory`, ordered by name.
    const std::vector<peer_instance> &peers() const { return m_peers; }
    // Whether this instance may use its shares of what is divided among the peers.
    bool mayUseShares(boot_time now) const { return isSettled(now, joinTime); }
    // The same for a bound over a `window` of time: what this instance, or its earlier process,
    // has used of it without being known is forgotten by then.
    bool mayUseShares(boot_time now, std::chrono::milliseconds window) const
    {
        return isSettled(now, std::max(window, joinTime));
    }
    // Since an answer named this instance.
    std::chrono::milliseconds age(boot_time now) const;

private:
    // It has been named without a gap for so long.
    bool isSettled(boot_time now, std::chrono::milliseconds time) const;

    struct record
    {
        std::string region;
        boot_time namedAt;
    };

    std::string m_self;
    std::map<std::string, record> m_records;
    std::vector<peer_instance> m_peers;
    bool m_isNamed = false; // ever
    boot_time m_namedAt; // this instance, last
    boot_time m_joinedAt; // since when it has been named without a gap
};

} // namespace buckthorngrade
