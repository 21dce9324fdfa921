#include "net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int maxEventsPerWait = 128; // per epoll_wait() call
constexpr std::chrono::milliseconds maxWait{1'000};
constexpr unsigned tokenShift = 32;
constexpr std::uint64_t descriptorMask = 0xffffffffU;

std::uint64_t packEventData(int descriptor, std::uint64_t token)
{
    return (token << tokenShift) | static_cast<std::uint32_t>(descriptor);
}

void controlEpoll(int epoll, int operation, int descriptor, std::uint32_t events,
                  std::uint64_t token)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = packEventData(descriptor, token);
    if (::epoll_ctl(epoll, operation, descriptor, &event) != 0)
        throw net_error(fmt::format("epoll_ctl: {}", std::generic_category().message(errno)));
}

} // namespace

event_loop::event_loop()
    : m_epollDescriptor(::epoll_create1(EPOLL_CLOEXEC))
    , m_wakeupDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_now(std::chrono::steady_clock::now())
{
    if (m_epollDescriptor < 0 || m_wakeupDescriptor < 0)
        throw net_error("can't create an event loop: no file descriptors available");
    controlEpoll(m_epollDescriptor, EPOLL_CTL_ADD, m_wakeupDescriptor, EPOLLIN, 0);
}

event_loop::~event_loop()
{
    ::close(m_wakeupDescriptor);
    ::close(m_epollDescriptor);
}

void event_loop::watch(int descriptor, std::uint32_t events, descriptor_watcher &watcher)
{
    const std::uint64_t token = m_nextToken++ & descriptorMask;
    controlEpoll(m_epollDescriptor, EPOLL_CTL_ADD, descriptor, events, token);
    m_watches[descriptor] = {&watcher, token};
}

void event_loop::changeEvents(int descriptor, std::uint32_t events)
{
    controlEpoll(m_epollDescriptor, EPOLL_CTL_MOD, descriptor, events,
                 m_watches.at(descriptor).token);
}

void event_loop::unwatch(int descriptor)
{
    if (m_watches.erase(descriptor) > 0)
        ::epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

event_loop::timer_id event_loop::runAfter(std::chrono::milliseconds delay, callback task)
{
    const timer_id id = m_nextTimer++;
    const steady_time due = std::chrono::steady_clock::now() + delay;
    m_timers.emplace(std::pair(due, id), std::move(task));
    m_timerDueTimes.emplace(id, due);
    return id;
}

void event_loop::runEvery(std::chrono::milliseconds period, callback task)
{
    runAfter(period, [this, period, repeated = std::move(task)]() mutable {
        repeated();
        runEvery(period, std::move(repeated));
    });
}

void event_loop::cancel(timer_id &timer)
{
    if (const auto found = m_timerDueTimes.find(timer); found != m_timerDueTimes.end()) {
        m_timers.erase({found->second, timer});
        m_timerDueTimes.erase(found);
    }
    timer = 0;
}

void event_loop::post(callback task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(task));
    }
    const std::uint64_t one = 1;
    // The write fails only if the eventfd counter is full, and then the loop is already woken.
    [[maybe_unused]] const auto written = ::write(m_wakeupDescriptor, &one, sizeof one);
}

void event_loop::stop()
{
    post([this] { m_isRunning = false; });
}

int event_loop::waitTimeoutMs() const
{
    if (m_timers.empty())
        return static_cast<int>(maxWait.count());
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        m_timers.begin()->first.first - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp(left, std::chrono::milliseconds(0), maxWait).count());
}

void event_loop::runDueTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        auto node = m_timers.extract(m_timers.begin());
        m_timerDueTimes.erase(node.key().second);
        node.mapped()();
    }
}

void event_loop::runPosted()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto read = ::read(m_wakeupDescriptor, &count, sizeof count);
    std::vector<callback> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (const callback &task : tasks)
        task();
}

void event_loop::run()
{
    std::array<epoll_event, maxEventsPerWait> events{};
    while (m_isRunning) {
        const int count
            = ::epoll_wait(m_epollDescriptor, events.data(), maxEventsPerWait, waitTimeoutMs());
        m_now = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events[static_cast<std::size_t>(i)];
            const int descriptor = static_cast<int>(event.data.u64 & descriptorMask);
            const std::uint64_t token = event.data.u64 >> tokenShift;
            if (descriptor == m_wakeupDescriptor && token == 0) {
                runPosted();
                continue;
            }
            // An earlier callback of this batch may have closed the descriptor, and its number may
            // have been reused.
            const auto found = m_watches.find(descriptor);
            if (found != m_watches.end() && found->second.token == token)
                found->second.watcher->descriptorReady(event.events);
        }
        runDueTimers();
    }
}

} // namespace buckthorngrade
