#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/confirmation.h"
#include "control/control_state.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <thread>

namespace buckthorngrade {

// Thread that updates the confirmation of the leader periodically: the leader asks a quorum to
// confirm it, and the other control instances ask the leader for its latest confirmation. The age
// is measured from before the request is sent, so that a delayed reply never appears more recent
// than it is.
class confirmation_duty
{
public:
    // Starts the thread. All references must outlive this object.
    confirmation_duty(const settings &config, replicator &log, const control_state &state,
                      const clock_source &clock, confirmation &target);
    ~confirmation_duty();
    confirmation_duty(const confirmation_duty &) = delete;
    confirmation_duty &operator=(const confirmation_duty &) = delete;

private:
    void run();
    void confirmAsLeader();
    void queryLeader(replica_id leader);

    const settings &m_settings;
    replicator &m_log;
    const control_state &m_state;
    const clock_source &m_clock;
    confirmation &m_target;
    control_channels m_channels;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
