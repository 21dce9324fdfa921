#include "testing/fault_proxy.h"

#include "base/error.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace buckthorngrade {

namespace {

constexpr std::size_t pieceBytes = 16UL * 1024;
// Enough for 55 ms of 300 Mbit/s; reading pauses beyond it.
constexpr std::size_t maxQueuedBytes = 4UL * 1024 * 1024;
constexpr std::chrono::hours farFuture{1};

Poco::Net::SocketAddress parseAddress(const std::string &text)
{
    try {
        return Poco::Net::SocketAddress(text);
    } catch (const Poco::Exception &failure) {
        throw error(text + ": " + failure.displayText());
    }
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void closeDescriptor(int &descriptor, bool reset)
{
    if (descriptor < 0)
        return;
    if (reset) {
        const linger now{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(descriptor);
    descriptor = -1;
}

fault_proxy::direction opposite(fault_proxy::direction which)
{
    return which == fault_proxy::to_target ? fault_proxy::to_client : fault_proxy::to_target;
}

constexpr std::array<fault_proxy::direction, 2> bothDirections
    = {fault_proxy::to_target, fault_proxy::to_client};

} // namespace

fault_proxy::fault_proxy(const std::string &listen, const std::string &target, std::uint64_t seed)
    : m_target(target)
    , m_random(seed)
{
    parseAddress(target);
    openListener(listen);
    m_wakeup = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_thread = std::thread([this] { run(); });
}

fault_proxy::~fault_proxy()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    wake();
    m_thread.join();
    for (const auto &item : m_connections)
        closeEnds(*item, true);
    closeDescriptor(m_listener, false);
    closeDescriptor(m_wakeup, false);
}

void fault_proxy::openListener(const std::string &address)
{
    const Poco::Net::SocketAddress wanted = parseAddress(address);
    const int descriptor = ::socket(wanted.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    auto *const plain = reinterpret_cast<sockaddr *>(&bound);
    if (::bind(descriptor, wanted.addr(), wanted.length()) != 0
        || ::listen(descriptor, SOMAXCONN) != 0 || ::getsockname(descriptor, plain, &length) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        throw error("can't listen on " + address + ": " + reason);
    }
    m_address = Poco::Net::SocketAddress(plain, length).toString();
    m_listener = descriptor;
}

void fault_proxy::wake()
{
    const std::uint64_t one = 1;
    // Fails only if the counter is full, in which case the thread wakes anyway.
    [[maybe_unused]] const auto written = ::write(m_wakeup, &one, sizeof one);
}

void fault_proxy::setConditions(direction which, const link_conditions &conditions)
{
    {
        const std::lock_guard lock(m_mutex);
        m_conditions[which] = conditions;
        m_linkFree[which] = {};
        if (isOpen(to_target) && isOpen(to_client))
            for (const auto &item : m_connections)
                if (item->hasLostBytes)
                    closeEnds(*item, true);
    }
    wake();
}

link_conditions fault_proxy::conditions(direction which) const
{
    const std::lock_guard lock(m_mutex);
    return m_conditions[which];
}

void fault_proxy::partition(bool toTarget, bool toClient, link_conditions::flow state)
{
    for (const direction which : bothDirections) {
        link_conditions changed = conditions(which);
        if (which == to_target ? toTarget : toClient) {
            changed.state = state;
            setConditions(which, changed);
        }
    }
}

void fault_proxy::heal()
{
    for (const direction which : bothDirections)
        setConditions(which, {});
    setRefusing(false);
}

void fault_proxy::setRefusing(bool refusing)
{
    {
        const std::lock_guard lock(m_mutex);
        if (refusing)
            closeDescriptor(m_listener, false);
        else if (m_listener < 0)
            openListener(m_address);
    }
    wake();
}

void fault_proxy::resetAll()
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &item : m_connections)
            closeEnds(*item, true);
    }
    wake();
}

void fault_proxy::leaveHalfOpen()
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &item : m_connections) {
            item->isHalfOpen = true;
            item->halves = {};
            closeDescriptor(item->ends[1], false);
        }
    }
    wake();
}

fault_proxy::counters fault_proxy::read() const
{
    const std::lock_guard lock(m_mutex);
    counters result = m_counters;
    result.open = m_connections.size();
    return result;
}

bool fault_proxy::isOpen(direction which) const
{
    return m_conditions[which].state == link_conditions::flow::open;
}

bool fault_proxy::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void fault_proxy::run()
{
    std::vector<pollfd> entries;
    std::vector<std::shared_ptr<connection>> owners;
    while (true) {
        steady_time now = std::chrono::steady_clock::now();
        std::chrono::nanoseconds pause{0};
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return;
            pause = std::max(collect(entries, owners, now) - now, steady_time::duration::zero());
        }
        const auto seconds = std::chrono::floor<std::chrono::seconds>(pause);
        const timespec timeout{seconds.count(), (pause - seconds).count()};
        ::ppoll(entries.data(), entries.size(), &timeout, nullptr);
        now = std::chrono::steady_clock::now();

        const std::lock_guard lock(m_mutex);
        std::uint64_t ignored = 0;
        [[maybe_unused]] const auto count = ::read(m_wakeup, &ignored, sizeof ignored);
        if (m_listener >= 0)
            acceptAll();
        for (std::size_t i = 0; i < entries.size(); ++i)
            if (owners[i] && entries[i].revents != 0)
                handle(*owners[i], entries[i], now);
        for (const auto &item : m_connections) {
            if (!item->isDead && !item->isHalfOpen && item->ends[1] < 0 && isOpen(to_target)
                && isOpen(to_client))
                connectTarget(*item);
            for (const direction which : bothDirections)
                if (!item->isDead && !item->isConnecting && !item->isHalfOpen)
                    writeTo(*item, which, now);
        }
        m_connections.remove_if([](const auto &item) { return item->isDead; });
    }
}

// Fills `entries` with what to wait for and returns until when.
steady_time fault_proxy::collect(std::vector<pollfd> &entries,
                                 std::vector<std::shared_ptr<connection>> &owners, steady_time now)
{
    steady_time until = now + farFuture;
    entries.assign({pollfd{m_wakeup, POLLIN, 0}, pollfd{m_listener, POLLIN, 0}});
    owners.assign(entries.size(), nullptr);
    for (const auto &item : m_connections) {
        for (const direction which : bothDirections) {
            const half &in = item->halves[which];
            const half &out = item->halves[opposite(which)];
            short events = 0;
            if (!in.hasEnded && in.queuedBytes < maxQueuedBytes)
                events |= POLLIN;
            if (which == to_client && item->isConnecting) {
                events = POLLOUT;
            } else if (!out.queue.empty() && isOpen(opposite(which)) && !item->isConnecting) {
                if (out.queue.front().due <= now)
                    events |= POLLOUT;
                else
                    until = std::min(until, out.queue.front().due);
            }
            if (events == 0 || item->ends[which] < 0)
                continue;
            entries.push_back({item->ends[which], events, 0});
            owners.push_back(item);
        }
    }
    return until;
}

void fault_proxy::handle(connection &item, const pollfd &entry, steady_time now)
{
    for (const direction which : bothDirections) {
        // Another thread may have closed the socket since it was polled.
        if (item.isDead || item.ends[which] != entry.fd)
            continue;
        if (which == to_client && item.isConnecting)
            finishConnect(item);
        else if ((entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0)
            readFrom(item, which, now);
    }
}

void fault_proxy::acceptAll()
{
    while (true) {
        const int descriptor
            = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        setNoDelay(descriptor);
        auto item = std::make_shared<connection>();
        item->ends[0] = descriptor;
        m_connections.push_back(std::move(item));
        ++m_counters.accepted;
    }
}

void fault_proxy::connectTarget(connection &item)
{
    const Poco::Net::SocketAddress target(m_target);
    item.ends[1] = ::socket(target.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setNoDelay(item.ends[1]);
    if (::connect(item.ends[1], target.addr(), target.length()) != 0 && errno != EINPROGRESS)
        closeEnds(item, true);
}

void fault_proxy::finishConnect(connection &item)
{
    int failure = 0;
    socklen_t length = sizeof failure;
    ::getsockopt(item.ends[1], SOL_SOCKET, SO_ERROR, &failure, &length);
    if (failure != 0)
        closeEnds(item, true);
    else
        item.isConnecting = false;
}

void fault_proxy::readFrom(connection &item, direction which, steady_time now)
{
    half &in = item.halves[which];
    if (in.hasEnded)
        return;
    std::string bytes(pieceBytes, '\0');
    const ssize_t count = ::recv(item.ends[which], bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0) {
        in.hasEnded = true;
        in.wasReset = count < 0;
        if (item.isHalfOpen || item.isConnecting)
            closeEnds(item, in.wasReset);
        return;
    }
    const link_conditions &conditions = m_conditions[which];
    if (item.isHalfOpen)
        return;
    if (conditions.state == link_conditions::flow::discard) {
        item.hasLostBytes = true;
        return;
    }
    if (chance(conditions.resetProbability)) {
        ++m_counters.resets;
        closeEnds(item, true);
        return;
    }
    bytes.resize(static_cast<std::size_t>(count));
    steady_time due = now;
    if (conditions.bytesPerSecond > 0) {
        const std::chrono::duration<double> transfer(
            static_cast<double>(count) / static_cast<double>(conditions.bytesPerSecond));
        due = std::max(now, m_linkFree[which])
            + std::chrono::duration_cast<steady_time::duration>(transfer);
        m_linkFree[which] = due;
    }
    due += conditions.delay;
    if (conditions.jitter.count() > 0)
        due += std::chrono::microseconds(
            std::uniform_int_distribution<std::int64_t>(0, conditions.jitter.count())(m_random));
    if (chance(conditions.stallProbability)) {
        ++m_counters.stalls;
        due += conditions.stallTime;
    }
    in.lastDue = std::max(due, in.lastDue);
    in.queuedBytes += bytes.size();
    in.queue.push_back({in.lastDue, std::move(bytes)});
}

void fault_proxy::writeTo(connection &item, direction which, steady_time now)
{
    half &out = item.halves[which];
    if (!isOpen(which))
        return;
    while (!out.queue.empty() && out.queue.front().due <= now) {
        std::string &bytes = out.queue.front().bytes;
        const ssize_t count
            = ::send(item.ends[opposite(which)], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count < 0) {
            // The receiver is gone. Its reset reaches the sender only if that direction is open.
            out.queue.clear();
            out.queuedBytes = 0;
            half &back = item.halves[opposite(which)];
            back.hasEnded = true;
            back.wasReset = true;
            wake();
            return;
        }
        m_counters.bytes[which] += static_cast<std::uint64_t>(count);
        out.queuedBytes -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty())
            out.queue.pop_front();
    }
    if (out.queue.empty() && out.hasEnded && !out.isFinished)
        passEnd(item, which);
}

void fault_proxy::passEnd(connection &item, direction which)
{
    item.halves[which].isFinished = true;
    if (item.halves[which].wasReset)
        closeEnds(item, true);
    else if (item.halves[opposite(which)].isFinished)
        closeEnds(item, false);
    else
        ::shutdown(item.ends[opposite(which)], SHUT_WR);
}

void fault_proxy::closeEnds(connection &item, bool reset)
{
    for (int &descriptor : item.ends)
        closeDescriptor(descriptor, reset);
    item.isDead = true;
}

} // namespace buckthorngrade
