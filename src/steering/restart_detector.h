#pragma once

#include "base/clock.h"

#include <chrono>

namespace buckthorngrade {

// Detects that the process of an upstream may have been replaced by one that is still cold.
//
// An upstream can restart under the same id, and the upstream list shows this only seconds later.
// Its connections show it immediately: a connection that closes or cannot be established may mean
// that the process has ended. From then on, a restart is suspected
//  * until a response arrives on a connection that was established while the previous process was
//    known to run, which proves that this process is still running;
//  * or until the cold period has passed since the first response on any other connection;
//  * or, if no response arrives, for a fixed time after the last lost connection.
class restart_detector
{
public:
    // After this time, the upstream list no longer contains a process that has ended, or it shows
    // the process that replaced it.
    static constexpr std::chrono::milliseconds suspicionTimeout{8'000};

    // Records that a connection closed or could not be established. `aliveAt` is the last time at
    // which the process at the other end was known to run.
    void recordLoss(steady_time aliveAt, steady_time now);
    // Records a response on a connection that was established at `connectedAt`.
    void recordResponse(steady_time connectedAt, steady_time now);
    // `coldPeriod` is the time for which an upstream is cold after its start. If it is 0, no
    // upstream is ever cold and no restart is suspected.
    bool isSuspected(steady_time now, std::chrono::milliseconds coldPeriod) const;

private:
    bool m_hasLostConnection = false;
    bool m_hasResponse = false;
    steady_time m_aliveAt; // The previous process was running at least until then.
    steady_time m_lostAt;
    steady_time m_firstResponseAt;
};

} // namespace buckthorngrade
