#pragma once

#include "base/clock.h"

#include <chrono>

namespace buckthorngrade {

// Whether the process behind an upstream may have been replaced by one that is still cold.
//
// An upstream may start again under its id, and the list shows that seconds later. What shows it at
// once are its connections: one that ends, or can't be made, may mean that its process has ended.
// From then on a restart is suspected
//  * until a response comes on a connection that was made while the earlier process was certainly
//    alive, because then that process lives on;
//  * or until the cold period has passed since the first response on any connection;
//  * or, without responses, for `silence`.
class restart_watch
{
public:
    // By then the list leaves out a process that has ended, or shows its successor.
    static constexpr std::chrono::milliseconds silence{8'000};

    // A connection ended, or could not be made. `aliveAt`: the last time at which the process was
    // known to be the one behind it.
    void recordLoss(steady_time aliveAt, steady_time now);
    // A response came on a connection that was made at `connectedAt`.
    void recordResponse(steady_time connectedAt, steady_time now);
    // `coldPeriod`: of an upstream after its start; 0: none is cold.
    bool isSuspected(steady_time now, std::chrono::milliseconds coldPeriod) const;

private:
    bool m_isLost = false;
    bool m_isRegained = false;
    steady_time m_aliveAt; // of the earlier process, at least
    steady_time m_lostAt;
    steady_time m_regainedAt;
};

} // namespace buckthorngrade
