#include "carrier/evacuation_tracker.h"

namespace buckthorngrade {

std::optional<evacuation_tracker::change> evacuation_tracker::apply(const wire::node_view &view,
                                                                    boot_time now)
{
    const bool isAfterGap = m_leaderViewAt && now - *m_leaderViewAt > maxViewGap;
    // A control instance that knows no leader may itself have missed evacuations.
    if (view.has_leader())
        m_leaderViewAt = now;
    if (view.evacuation_revision() <= m_revision)
        return std::nullopt;
    m_revision = view.evacuation_revision();
    return change{{view.evacuated().begin(), view.evacuated().end()}, isAfterGap};
}

} // namespace buckthorngrade
