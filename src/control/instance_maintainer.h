#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/timer_service.h"
#include "control/allocation_service.h"
#include "control/control_state.h"
#include "control/edit_service.h"
#include "control/instance_registry.h"
#include "model/settings.h"

#include <atomic>
#include <optional>
#include <string>
#include <thread>

namespace buckthorngrade {

// Periodic work on entry instances; it does nothing unless this instance is the leader. A timer
// advances the allocations every second. A separate thread, which blocks on commits, reads the
// platform's list, registers new processes and removes instances that are gone.
class instance_maintainer
{
public:
    // All references must outlive this.
    instance_maintainer(const settings &config, const replicator &log, const control_state &state,
                        edit_service &edits, instance_registry &registry,
                        allocation_service &allocations, const clock_source &clock,
                        event_log &events);
    ~instance_maintainer();
    instance_maintainer(const instance_maintainer &) = delete;
    instance_maintainer &operator=(const instance_maintainer &) = delete;

private:
    void advanceAllocations();
    void run();
    void runOnce();
    void updatePlatformList();
    void registerNewInstances();
    void removeGoneInstances();

    const settings &m_settings;
    const replicator &m_log;
    const control_state &m_state;
    edit_service &m_edits;
    instance_registry &m_registry;
    allocation_service &m_allocations;
    const clock_source &m_clock;
    event_log &m_events;
    std::string m_lastListFailure;
    steady_time m_nextListRead;
    std::atomic<bool> m_stopping = false;
    timer_service m_timers;
    timer_subscription m_advanceTimer;
    std::thread m_thread;
};

} // namespace buckthorngrade
