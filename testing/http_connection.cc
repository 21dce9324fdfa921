#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace buckthorngrade {

namespace {

constexpr std::size_t bufferBytes = 64UL * 1024;
constexpr std::size_t maxHeadBytes = 64UL * 1024;
constexpr std::size_t maxDiscardBytes = 64UL * 1024 * 1024;
constexpr std::size_t maxLineBytes = 4096;

// Returns the poll events that are set.
short pollSocket(const Poco::Net::StreamSocket &socket, short events,
                 std::chrono::milliseconds timeout)
{
    pollfd entry{socket.impl()->sockfd(), events, 0};
    ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(timeout.count(), 0)));
    return entry.revents;
}

} // namespace

http_connection::http_connection(const Poco::Net::StreamSocket &socket)
    : m_socket(socket)
{
    m_socket.setNoDelay(true);
}

bool http_connection::waitReadable(std::chrono::milliseconds timeout)
{
    return !m_buffer.empty() || pollSocket(m_socket, POLLIN, timeout) != 0;
}

std::string http_connection::peek()
{
    if (!m_buffer.empty())
        return m_buffer;
    std::array<char, 256> bytes{};
    const auto count = ::recv(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_PEEK);
    return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
}

bool http_connection::fill()
{
    std::array<char, bufferBytes> bytes;
    const int count = m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    m_buffer.append(bytes.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

bool http_connection::readHead(Poco::Net::HTTPMessage &message)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (m_buffer.size() > maxHeadBytes || !fill())
            return false;
    std::istringstream head(m_buffer.substr(0, end + 4));
    m_buffer.erase(0, end + 4);
    try {
        message.read(head);
    } catch (const Poco::Net::NetException &) {
        return false;
    }
    return true;
}

bool http_connection::take(std::size_t count, const std::function<void(std::string_view)> &sink)
{
    while (count > 0) {
        if (m_buffer.empty() && !fill())
            return false;
        const std::size_t part = std::min(count, m_buffer.size());
        sink(std::string_view(m_buffer).substr(0, part));
        m_buffer.erase(0, part);
        count -= part;
    }
    return true;
}

bool http_connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos)
        if (m_buffer.size() > maxLineBytes || !fill())
            return false;
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool http_connection::readBody(const Poco::Net::HTTPMessage &message,
                               const std::function<void(std::string_view)> &sink)
{
    if (message.get("Expect", "") == "100-continue")
        send("HTTP/1.1 100 Continue\r\n\r\n");
    if (!message.getChunkedTransferEncoding())
        return !message.hasContentLength()
            || take(static_cast<std::size_t>(message.getContentLength64()), sink);
    std::string line;
    while (readLine(line)) {
        std::size_t size = 0;
        const auto [rest, failure]
            = std::from_chars(line.data(), line.data() + line.size(), size, 16);
        if (failure != std::errc())
            return false;
        if (size == 0) {
            while (readLine(line))
                if (line.empty())
                    return true;
            return false;
        }
        if (!take(size, sink) || !readLine(line) || !line.empty())
            return false;
    }
    return false;
}

void http_connection::readToEnd(const std::function<void(std::string_view)> &sink)
{
    while (!m_buffer.empty() || fill()) {
        sink(m_buffer);
        m_buffer.clear();
    }
}

void http_connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto part = static_cast<int>(std::min(bytes.size(), bufferBytes));
        const int count = m_socket.sendBytes(bytes.data(), part);
        if (count <= 0)
            throw Poco::Net::ConnectionResetException("send");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool http_connection::waitPeerLeft(std::chrono::milliseconds timeout)
{
    return (pollSocket(m_socket, POLLRDHUP, timeout) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void http_connection::reset()
{
    m_socket.setLinger(true, 0);
    m_socket.close();
}

void http_connection::closeCleanly()
{
    constexpr std::chrono::seconds patience{2};
    m_socket.shutdownSend();
    std::size_t discarded = 0;
    m_buffer.clear();
    while (discarded < maxDiscardBytes && waitReadable(patience) && fill()) {
        discarded += m_buffer.size();
        m_buffer.clear();
    }
    m_socket.close();
}

std::string formatAnswer(int status, std::string_view headers, std::string_view body,
                         bool keepAlive)
{
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\nConnection: {}\r\n\r\n{}", status,
                       Poco::Net::HTTPResponse::getReasonForStatus(code), headers, body.size(),
                       keepAlive ? "keep-alive" : "close", body);
}

} // namespace buckthorngrade
