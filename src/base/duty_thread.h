#pragma once

#include "base/event_log.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace buckthorngrade {

// Thread that runs one duty periodically: the next run starts one period after the start of the
// last, or at once if that took longer. An exception is logged and the duty is run again.
class duty_thread
{
public:
    // `events` must outlive this. The first run is at once.
    duty_thread(std::string name, std::chrono::milliseconds period, std::function<void()> duty,
                event_log &events);
    // Waits for a run under way.
    ~duty_thread();
    duty_thread(const duty_thread &) = delete;
    duty_thread &operator=(const duty_thread &) = delete;

private:
    void run();

    const std::string m_name;
    const std::chrono::milliseconds m_period;
    const std::function<void()> m_duty;
    event_log &m_events;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
