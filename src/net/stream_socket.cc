#include "net/stream_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int backlog = 1024;
constexpr int maxAcceptsPerEvent = 64; // per event, so that other callbacks are not delayed

sockaddr_in toNative(const socket_address &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.host.c_str(), &native.sin_addr) != 1)
        throw net_error(fmt::format("'{}' is not an IPv4 address", address.host));
    return native;
}

std::string hostOf(const sockaddr_in &native)
{
    char text[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &native.sin_addr, text, sizeof text);
    return text;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw net_error(fmt::format("socket: {}", std::generic_category().message(errno)));
    return descriptor;
}

} // namespace

socket_address socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    socket_address result;
    if (colon == std::string_view::npos)
        throw net_error(fmt::format("'{}' is not an address of the form IP:port", text));
    result.host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, failure]
        = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (failure != std::errc() || end != port.data() + port.size())
        throw net_error(fmt::format("'{}' is not an address of the form IP:port", text));
    toNative(result);
    return result;
}

std::string socket_address::toString() const
{
    return fmt::format("{}:{}", host, port);
}

stream_socket::stream_socket(event_loop &loop, int descriptor)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_isConnected(true)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0)
        m_peerHost = hostOf(peer);
    initialize();
}

stream_socket::stream_socket(event_loop &loop, const socket_address &to)
    : m_loop(loop)
    , m_descriptor(openSocket())
    , m_isConnected(false)
    , m_peerHost(to.host)
{
    const sockaddr_in native = toNative(to);
    // epoll reports an immediate failure with one of these codes as an error on the descriptor.
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        && errno != EINPROGRESS && errno != ECONNREFUSED && errno != ENETUNREACH
        && errno != EHOSTUNREACH) {
        const int code = errno;
        ::close(m_descriptor);
        throw net_error(
            fmt::format("connect to {}: {}", to.toString(), std::generic_category().message(code)));
    }
    initialize();
}

stream_socket::~stream_socket()
{
    close();
}

void stream_socket::initialize()
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_events = EPOLLRDHUP | EPOLLIN | (m_isConnected ? 0U : static_cast<unsigned>(EPOLLOUT));
    m_loop.watch(m_descriptor, m_events, *this);
}

void stream_socket::updateEvents()
{
    if (!isOpen())
        return;
    std::uint32_t wanted = EPOLLRDHUP;
    if (!m_isPaused)
        wanted |= EPOLLIN;
    if (!m_isConnected || !m_output.empty())
        wanted |= EPOLLOUT;
    if (wanted == m_events)
        return;
    m_events = wanted;
    m_loop.changeEvents(m_descriptor, wanted);
}

void stream_socket::pauseReading(bool isPaused)
{
    m_isPaused = isPaused;
    updateEvents();
}

void stream_socket::send(std::string_view bytes)
{
    if (!isOpen())
        return;
    const bool wasEmpty = m_output.empty();
    m_output.append(bytes);
    if (wasEmpty && m_isConnected)
        writePending();
    updateEvents();
}

std::uint64_t stream_socket::undeliveredBytes() const
{
    int inKernel = 0;
    if (!isOpen() || ::ioctl(m_descriptor, SIOCOUTQ, &inKernel) != 0)
        inKernel = 0;
    return m_output.size() + static_cast<std::uint64_t>(inKernel);
}

void stream_socket::writePending()
{
    std::size_t done = 0;
    while (done < m_output.size()) {
        const auto written
            = ::send(m_descriptor, m_output.data() + done, m_output.size() - done, MSG_NOSIGNAL);
        if (written > 0) {
            done += static_cast<std::size_t>(written);
            continue;
        }
        // The failure is reported after the data that the peer sent before has been read. It has to
        // be recorded because the kernel reports it only once: the receive that follows returns 0,
        // as after an orderly close. EPIPE says nothing about the data received: the peer closed in
        // order and then reset the connection, or an earlier call has returned the error.
        m_hasFailed = m_hasFailed
            || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != EPIPE);
        break;
    }
    m_sentBytes += done;
    m_output.erase(0, done);
}

void stream_socket::readAvailable()
{
    std::size_t added = 0;
    close_reason reason = close_reason::ended;
    bool isStreamEnded = false;
    while (!isStreamEnded && added < m_readLimit) {
        char buffer[16 * 1024];
        const std::size_t wanted = std::min(sizeof buffer, m_readLimit - added);
        const auto count = ::recv(m_descriptor, buffer, wanted, 0);
        if (count > 0) {
            m_input.append(buffer, static_cast<std::size_t>(count));
            added += static_cast<std::size_t>(count);
            if (static_cast<std::size_t>(count) < wanted)
                break;
        } else if (count == 0) {
            isStreamEnded = true;
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            break;
        } else if (errno != EINTR) {
            reason = close_reason::failed;
            isStreamEnded = true;
        }
    }
    if (added > 0)
        m_handlers.onInput();
    if (isStreamEnded && isOpen())
        fail(reason);
}

void stream_socket::descriptorReady(std::uint32_t events)
{
    if (!m_isConnected) {
        int code = 0;
        socklen_t size = sizeof code;
        ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &code, &size);
        if (code != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
            fail(close_reason::failed);
            return;
        }
        if ((events & EPOLLOUT) == 0)
            return;
        m_isConnected = true;
        writePending();
        m_handlers.onConnected();
        if (!isOpen())
            return;
        updateEvents();
    }
    if (!m_isPaused && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        readAvailable();
        if (!isOpen())
            return;
    } else if ((events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0) {
        fail((events & EPOLLERR) != 0 ? close_reason::failed : close_reason::ended);
        return;
    }
    if ((events & EPOLLOUT) != 0 && !m_output.empty()) {
        writePending();
        if (m_output.empty())
            m_handlers.onSent();
    }
    updateEvents();
}

void stream_socket::fail(close_reason reason)
{
    close();
    m_handlers.onClosed(m_hasFailed ? close_reason::failed : reason);
}

void stream_socket::close()
{
    if (!isOpen())
        return;
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void stream_socket::shutdownSending()
{
    if (isOpen())
        ::shutdown(m_descriptor, SHUT_WR);
}

void stream_socket::reset()
{
    if (!isOpen())
        return;
    const linger abort{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}

stream_listener::stream_listener(event_loop &loop, const socket_address &address,
                                 std::function<void(int)> onAccepted)
    : m_loop(loop)
    , m_descriptor(openSocket())
    , m_address(address)
    , m_onAccepted(std::move(onAccepted))
{
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in native = toNative(address);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        || ::listen(m_descriptor, backlog) != 0) {
        const int code = errno;
        ::close(m_descriptor);
        throw net_error(fmt::format("can't listen on {}: {}", address.toString(),
                                    std::generic_category().message(code)));
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &size) == 0)
        m_address.port = ntohs(bound.sin_port);
    m_loop.watch(m_descriptor, EPOLLIN, *this);
}

stream_listener::~stream_listener()
{
    close();
}

void stream_listener::close()
{
    if (m_descriptor < 0)
        return;
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void stream_listener::descriptorReady(std::uint32_t)
{
    for (int i = 0; i < maxAcceptsPerEvent && m_descriptor >= 0; ++i) {
        const int accepted
            = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        m_onAccepted(accepted);
    }
}

} // namespace buckthorngrade
