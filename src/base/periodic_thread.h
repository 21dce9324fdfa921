#pragma once

#include "base/event_log.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace buckthorngrade {

// Thread that runs a task periodically. A run starts one period after the start of the previous
// run, or immediately if the previous run took longer than that. An exception thrown by the task is
// logged, and the task runs again at its next period.
class periodic_thread
{
public:
    // Starts the first run immediately. `events` must outlive this object.
    periodic_thread(std::string name, std::chrono::milliseconds period, std::function<void()> task,
                    event_log &events);
    // Waits for the current run to finish.
    ~periodic_thread();
    periodic_thread(const periodic_thread &) = delete;
    periodic_thread &operator=(const periodic_thread &) = delete;

private:
    void run();

    const std::string m_name;
    const std::chrono::milliseconds m_period;
    const std::function<void()> m_task;
    event_log &m_events;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
