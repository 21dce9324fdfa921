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

// A socket operation that failed for good: an address that can't be bound, no descriptors left.
class net_error : public error
{
public:
    using error::error;
};

// Receives what happens on a descriptor.
class descriptor_watcher
{
public:
    virtual ~descriptor_watcher() = default;
    // `events` are epoll's. The watcher may unwatch and destroy itself.
    virtual void descriptorReady(std::uint32_t events) = 0;
};

// Waits for descriptors, timers and tasks of other threads, and runs their callbacks on the one
// thread that calls run(). Only post() and stop() may be called from other threads.
class event_loop
{
public:
    using callback = std::function<void()>;
    using timer_id = std::uint64_t; // 0: none

    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // `watcher` must stay valid until unwatch().
    void watch(int descriptor, std::uint32_t events, descriptor_watcher &watcher);
    void changeEvents(int descriptor, std::uint32_t events);
    void unwatch(int descriptor);

    timer_id runAfter(std::chrono::milliseconds delay, callback task);
    // Runs `task` every `period` until the loop ends.
    void runEvery(std::chrono::milliseconds period, callback task);
    // Does nothing for a timer that has run. Sets `timer` to 0.
    void cancel(timer_id &timer);

    // Runs `task` on the loop's thread; thread-safe.
    void post(callback task);
    void run();
    void stop();

    // Time at the start of the current round of callbacks.
    steady_time now() const { return m_now; }

private:
    struct watch_entry
    {
        descriptor_watcher *watcher;
        std::uint64_t token;
    };

    void runDueTimers();
    void runPosted();
    int waitMs() const;

    int m_epoll;
    int m_wakeup;
    steady_time m_now;
    bool m_isRunning = true;
    std::uint64_t m_nextToken = 1;
    std::unordered_map<int, watch_entry> m_watches;
    std::map<std::pair<steady_time, timer_id>, callback> m_timers;
    std::unordered_map<timer_id, steady_time> m_due;
    timer_id m_nextTimer = 1;
    std::mutex m_mutex;
    std::vector<callback> m_posted;
};

} // namespace buckthorngrade
