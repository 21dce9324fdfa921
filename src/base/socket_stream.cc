#include "base/socket_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace buckthorngrade {

namespace {

std::string systemErrorMessage(const char *what, int number)
{
    return fmt::format("{}: {}", what, std::generic_category().message(number));
}

int remainingMs(steady_time deadline)
{
    constexpr std::chrono::seconds maxPollTime{60};
    const steady_time now = std::chrono::steady_clock::now();
    if (deadline <= now)
        return 0;
    const auto left = std::min<steady_time::duration>(deadline - now, maxPollTime);
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(left).count());
}

} // namespace

int waitForEvents(int descriptor, int events, steady_time deadline, int watched)
{
    std::array<pollfd, 2> entries{};
    entries[0] = {descriptor, static_cast<short>(events), 0};
    entries[1] = {watched, POLLRDHUP, 0};
    const nfds_t count = watched >= 0 ? 2 : 1;
    while (true) {
        const int ready = ::poll(entries.data(), count, remainingMs(deadline));
        if (ready < 0 && errno != EINTR)
            throw socket_error(socket_error::kind::closed, systemErrorMessage("poll", errno));
        if (ready > 0)
            return entries[0].revents != 0 ? entries[0].revents : -1;
        if (std::chrono::steady_clock::now() >= deadline)
            return 0;
    }
}

socket_stream::socket_stream(const Poco::Net::StreamSocket &socket)
    : m_socket(socket)
    , m_buffer(bufferBytes)
{
    try {
        m_socket.setBlocking(false);
        m_socket.setNoDelay(true);
    } catch (const Poco::Exception &failure) {
        throw socket_error(socket_error::kind::closed, failure.displayText());
    }
}

socket_stream socket_stream::connect(const std::string &address, steady_time deadline)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(address));
        socket_stream result(socket);
        if (waitForEvents(result.descriptor(), POLLOUT, deadline) == 0)
            throw socket_error(socket_error::kind::timeout, address + ": connect timed out");
        if (const int failure = socket.impl()->socketError(); failure != 0)
            throw socket_error(socket_error::kind::closed, systemErrorMessage("connect", failure));
        return result;
    } catch (const Poco::Exception &failure) {
        throw socket_error(socket_error::kind::closed, failure.displayText());
    }
}

int socket_stream::descriptor() const
{
    return m_socket.impl()->sockfd();
}

bool socket_stream::waitReadable(steady_time deadline) const
{
    return m_begin != m_end || waitForEvents(descriptor(), POLLIN, deadline) != 0;
}

bool socket_stream::fill(steady_time deadline)
{
    if (m_begin == m_end)
        m_begin = m_end = 0;
    if (m_end == m_buffer.size()) {
        std::memmove(m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    while (true) {
        const ssize_t count
            = ::recv(descriptor(), m_buffer.data() + m_end, m_buffer.size() - m_end, 0);
        if (count >= 0) {
            // A send has already returned the error, so it is not reported again.
            if (count == 0 && m_hasFailed)
                throw socket_error(socket_error::kind::closed, "receive: the connection failed");
            m_end += static_cast<std::size_t>(count);
            return count > 0;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN)
            throw socket_error(socket_error::kind::closed, systemErrorMessage("receive", errno));
        if (waitForEvents(descriptor(), POLLIN, deadline) == 0)
            throw socket_error(socket_error::kind::timeout, "receive timed out");
    }
}

// Sends as much as the kernel accepts without blocking. Returns false if it accepts nothing.
bool socket_stream::trySend(std::string_view &bytes)
{
    while (true) {
        const ssize_t count = ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            m_written += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
            return true;
        }
        if (errno == EAGAIN)
            return false;
        if (errno == EINTR)
            continue;
        // EPIPE says nothing about the data received: the peer closed in order and then reset the
        // connection, or an earlier call has returned the error.
        m_hasFailed = m_hasFailed || errno != EPIPE;
        throw socket_error(socket_error::kind::closed, systemErrorMessage("send", errno));
    }
}

void socket_stream::write(std::string_view bytes, steady_time deadline)
{
    while (!bytes.empty()) {
        if (!trySend(bytes) && waitForEvents(descriptor(), POLLOUT, deadline) == 0)
            throw socket_error(socket_error::kind::timeout, "send timed out");
    }
}

std::size_t socket_stream::writeUntilReadable(std::string_view bytes, steady_time deadline)
{
    const std::size_t size = bytes.size();
    while (!bytes.empty()) {
        const int events = waitForEvents(descriptor(), POLLIN | POLLOUT, deadline);
        if (events == 0)
            throw socket_error(socket_error::kind::timeout, "send timed out");
        if ((events & POLLIN) != 0)
            break;
        trySend(bytes);
    }
    return size - bytes.size();
}

bool socket_stream::hasPeerDisconnected() const
{
    pollfd entry{descriptor(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

void socket_stream::abort()
{
    try {
        m_socket.setLinger(true, 0);
    } catch (const Poco::Exception &) { // the connection has already failed
    }
    close();
}

void socket_stream::lingeringClose()
{
    constexpr std::chrono::seconds limit{1};
    shutdownAndAwaitPeer(std::chrono::steady_clock::now() + limit);
}

void socket_stream::shutdownAndAwaitPeer(steady_time deadline)
{
    constexpr std::size_t maxDiscarded = 4UL * 1024 * 1024;
    try {
        m_socket.shutdownSend();
        for (std::size_t discarded = 0; discarded < maxDiscarded;) {
            m_begin = m_end = 0;
            if (!fill(deadline))
                break;
            discarded += m_end;
        }
    } catch (const Poco::Exception &) { // the peer has disconnected
    } catch (const socket_error &) { // the connection failed or the deadline passed
    }
    close();
}

void socket_stream::interrupt()
{
    const std::lock_guard lock(*m_closeMutex);
    if (m_isClosed)
        return;
    try {
        m_socket.shutdown();
    } catch (const Poco::Exception &) { // the connection has already failed
    }
}

void socket_stream::close()
{
    const std::lock_guard lock(*m_closeMutex);
    m_isClosed = true;
    try {
        m_socket.close();
    } catch (const Poco::Exception &) { // the connection has already failed
    }
}

} // namespace buckthorngrade
