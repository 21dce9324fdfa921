#include "base/periodic_thread.h"

#include <exception>

namespace buckthorngrade {

periodic_thread::periodic_thread(std::string name, std::chrono::milliseconds period,
                                 std::function<void()> task, event_log &events)
    : m_name(std::move(name))
    , m_period(period)
    , m_task(std::move(task))
    , m_events(events)
    , m_thread([this] { run(); })
{ }

periodic_thread::~periodic_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void periodic_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto next = std::chrono::steady_clock::now() + m_period;
        lock.unlock();
        try {
            m_task();
        } catch (const std::exception &failure) {
            m_events.write(event_id::duty_failed, {{"duty", m_name}, {"reason", failure.what()}});
        }
        lock.lock();
        m_changed.wait_until(lock, next, [this] { return m_stopping; });
    }
}

} // namespace buckthorngrade
