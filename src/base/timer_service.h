#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace buckthorngrade {

class timer_service;

// Owns an active timer. The destructor cancels the timer and waits for a running callback to
// finish, unless it is called from that callback.
class timer_subscription
{
public:
    timer_subscription() = default;
    timer_subscription(timer_subscription &&other) noexcept;
    timer_subscription &operator=(timer_subscription &&other) noexcept;
    timer_subscription(const timer_subscription &) = delete;
    timer_subscription &operator=(const timer_subscription &) = delete;
    ~timer_subscription();

    void cancel();

private:
    friend class timer_service;
    timer_subscription(timer_service *service, std::uint64_t id);

    timer_service *m_service = nullptr;
    std::uint64_t m_id = 0;
};

// Runs timer callbacks on its own thread. Callbacks must be short; pass longer work to another
// thread through a bounded_ring. The service must outlive its subscriptions.
class timer_service
{
public:
    timer_service();
    ~timer_service();
    timer_service(const timer_service &) = delete;
    timer_service &operator=(const timer_service &) = delete;

    // Runs `callback` every `period`, first after one period. Missed runs are skipped.
    [[nodiscard]] timer_subscription subscribe(std::chrono::milliseconds period,
                                               std::function<void()> callback);
    // Runs `callback` once after `delay`.
    [[nodiscard]] timer_subscription once(std::chrono::milliseconds delay,
                                          std::function<void()> callback);

private:
    friend class timer_subscription;
    struct timer
    {
        steady_time due;
        std::chrono::milliseconds period;
        std::function<void()> callback;
    };

    timer_subscription add(std::chrono::milliseconds delay, std::chrono::milliseconds period,
                           std::function<void()> callback);
    void cancel(std::uint64_t id);
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, timer> m_timers;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_runningId = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
