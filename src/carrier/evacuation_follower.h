#pragma once

#include "base/boot_clock.h"
#include "link.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace buckthorngrade {

// The evacuated failure domains, kept up to date from the answers of control instances. It never
// goes back to an older revision.
class evacuation_follower
{
public:
    // An answer that comes later than this after the one before may hide an evacuation that began
    // and ended in between. Longer than the polls of a large deployment.
    static constexpr std::chrono::milliseconds longestGap{2'000};

    struct change
    {
        std::set<std::string> domains; // evacuated now
        // Other failure domains may have been evacuated and taken back unseen.
        bool mayHaveMissed = false;
    };

    std::uint64_t revision() const { return m_revision; }
    // What an answer changes, or nothing.
    std::optional<change> apply(const wire::node_view &view, boot_time now);

private:
    std::uint64_t m_revision = 0;
    std::optional<boot_time> m_heardAt; // an answer of a control instance that knew a leader
};

} // namespace buckthorngrade
