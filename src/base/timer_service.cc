#include "base/timer_service.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

timer_subscription::timer_subscription(timer_service *service, std::uint64_t id)
    : m_service(service)
    , m_id(id)
{ }

timer_subscription::timer_subscription(timer_subscription &&other) noexcept
    : m_service(std::exchange(other.m_service, nullptr))
    , m_id(other.m_id)
{ }

timer_subscription &timer_subscription::operator=(timer_subscription &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_service = std::exchange(other.m_service, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

timer_subscription::~timer_subscription()
{
    cancel();
}

void timer_subscription::cancel()
{
    if (auto *service = std::exchange(m_service, nullptr))
        service->cancel(m_id);
}

timer_service::timer_service()
    : m_thread([this] { run(); })
{ }

timer_service::~timer_service()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

timer_subscription timer_service::subscribe(std::chrono::milliseconds period,
                                            std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

timer_subscription timer_service::once(std::chrono::milliseconds delay,
                                       std::function<void()> callback)
{
    return add(delay, std::chrono::milliseconds::zero(), std::move(callback));
}

timer_subscription timer_service::add(std::chrono::milliseconds delay,
                                      std::chrono::milliseconds period,
                                      std::function<void()> callback)
{
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = m_nextId++;
        m_timers.emplace(
            id, timer{std::chrono::steady_clock::now() + delay, period, std::move(callback)});
    }
    m_changed.notify_all();
    return {this, id};
}

void timer_service::cancel(std::uint64_t id)
{
    std::unique_lock lock(m_mutex);
    m_timers.erase(id);
    if (std::this_thread::get_id() != m_thread.get_id())
        m_changed.wait(lock, [this, id] { return m_runningId != id; });
}

void timer_service::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto next = std::ranges::min_element(
            m_timers, {}, [](const auto &entry) { return entry.second.due; });
        if (next == m_timers.end()) {
            m_changed.wait(lock);
            continue;
        }
        const auto now = std::chrono::steady_clock::now();
        if (next->second.due > now) {
            m_changed.wait_until(lock, next->second.due);
            continue;
        }
        m_runningId = next->first;
        std::function<void()> callback;
        if (next->second.period > std::chrono::milliseconds::zero()) {
            next->second.due = now + next->second.period;
            callback = next->second.callback;
        } else {
            callback = std::move(next->second.callback);
            m_timers.erase(next);
        }
        lock.unlock();
        callback();
        callback = nullptr;
        lock.lock();
        m_runningId = 0;
        m_changed.notify_all();
    }
}

} // namespace buckthorngrade
