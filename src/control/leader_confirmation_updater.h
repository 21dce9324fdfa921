#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/control_state.h"
#include "control/leader_confirmation.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <thread>

namespace buckthorngrade {

// Thread that updates the confirmation of the leader periodically: the leader asks a quorum to
// confirm it, and the other control instances ask the leader for its latest confirmation. The age
// is measured from before the request is sent, so that a delayed reply never appears more recent
// than it is.
class leader_confirmation_updater
{
public:
    // Starts the thread. All references must outlive this object.
    leader_confirmation_updater(const settings &config, replicator &log, const control_state &state,
                                const clock_source &clock, leader_confirmation &target);
    ~leader_confirmation_updater();
    leader_confirmation_updater(const leader_confirmation_updater &) = delete;
    leader_confirmation_updater &operator=(const leader_confirmation_updater &) = delete;

private:
    void run();
    void confirmAsLeader();
    void queryLeader(replica_id leader);

    const settings &m_settings;
    replicator &m_log;
    const control_state &m_state;
    const clock_source &m_clock;
    leader_confirmation &m_target;
    control_channels m_channels;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
