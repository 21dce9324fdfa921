#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthorngrade {

// A socket operation failed permanently, for example because an address can't be bound or no file
// descriptors are available.
class net_error : public error
{
public:
    using error::error;
};

// Receives the events of a file descriptor.
class descriptor_watcher
{
public:
    virtual ~descriptor_watcher() = default;
    // `events` is a mask of EPOLL* flags. The watcher may unwatch and destroy itself.
    virtual void descriptorReady(std::uint32_t events) = 0;
};

// Event loop for file descriptors, timers and tasks posted by other threads. All callbacks run on
// the thread that calls run(). Only post() and stop() may be called from other threads.
class event_loop
{
public:
    using callback = std::function<void()>;
    using timer_id = std::uint64_t; // 0 means no timer

    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // `watcher` must remain valid until unwatch().
    void watch(int descriptor, std::uint32_t events, descriptor_watcher &watcher);
    void changeEvents(int descriptor, std::uint32_t events);
    void unwatch(int descriptor);

    timer_id runAfter(std::chrono::milliseconds delay, callback task);
    // Runs `task` every `period` until the loop ends.
    void runEvery(std::chrono::milliseconds period, callback task);
    // Cancels `timer` unless it has already run, and sets it to 0.
    void cancel(timer_id &timer);

    // Runs `task` on the loop's thread. Thread-safe.
    void post(callback task);
    void run();
    void stop();

    // Returns the time at which the current batch of callbacks started.
    steady_time now() const { return m_now; }

private:
    struct watch_entry
    {
        descriptor_watcher *watcher;
        std::uint64_t token;
    };

    void runDueTimers();
    void runPosted();
    int waitTimeoutMs() const;

    int m_epollDescriptor;
    int m_wakeupDescriptor;
    steady_time m_now;
    bool m_isRunning = true;
    std::uint64_t m_nextToken = 1;
    std::unordered_map<int, watch_entry> m_watches;
    std::map<std::pair<steady_time, timer_id>, callback> m_timers;
    std::unordered_map<timer_id, steady_time> m_timerDueTimes;
    timer_id m_nextTimer = 1;
    std::mutex m_mutex;
    std::vector<callback> m_posted;
};

} // namespace buckthorngrade
