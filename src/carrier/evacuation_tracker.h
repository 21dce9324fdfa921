#pragma once

#include "base/boot_clock.h"
#include "link.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace buckthorngrade {

// Tracks the evacuated failure domains through the views of control instances. Views whose revision
// is not newer are ignored.
class evacuation_tracker
{
public:
    // If more time than this passes between two views, an evacuation may have begun and ended in
    // between. Longer than the poll period of a large deployment.
    static constexpr std::chrono::milliseconds maxViewGap{2'000};

    struct change
    {
        std::set<std::string> domains; // evacuated now
        // Evacuations of other failure domains may have begun and ended between two views.
        bool mayHaveMissed = false;
    };

    std::uint64_t revision() const { return m_revision; }
    // Applies a view. Returns nullopt if its revision is not newer.
    std::optional<change> apply(const wire::node_view &view, boot_time now);

private:
    std::uint64_t m_revision = 0;
    std::optional<boot_time> m_leaderViewAt; // last view of a control instance that knew a leader
};

} // namespace buckthorngrade
