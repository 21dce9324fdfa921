#include "base/http_exchange.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timestamp.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace buckthorngrade {

namespace {

constexpr int noContent = 204;
constexpr int notModified = 304;

} // namespace

std::string reasonPhrase(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

http_exchange::http_exchange(socket_stream &stream, http_head head, std::string clientAddress,
                             std::chrono::milliseconds readTimeout,
                             std::chrono::milliseconds sendTimeout, bool keepAlive)
    : m_stream(stream)
    , m_head(std::move(head))
    , m_clientAddress(std::move(clientAddress))
    , m_readTimeout(readTimeout)
    , m_sendTimeout(sendTimeout)
    , m_body(stream, m_head)
    , m_keepAlive(keepAlive && m_head.keepAlive)
{ }

void http_exchange::write(std::string_view bytes)
{
    // The timeout applies to each part rather than to all of `bytes`, so that a slow reader of a
    // long response is not cut off.
    while (!bytes.empty()) {
        const auto part = bytes.substr(0, socket_stream::bufferBytes);
        m_stream.write(part, std::chrono::steady_clock::now() + m_sendTimeout);
        bytes.remove_prefix(part.size());
    }
}

std::size_t http_exchange::readBody(char *to, std::size_t size, steady_time deadline)
{
    if (m_head.expectsContinue && !m_continueSent && !m_isHeadSent && !m_body.isComplete()) {
        m_continueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return m_body.read(to, size,
                       std::min(deadline, std::chrono::steady_clock::now() + m_readTimeout));
}

void http_exchange::sendHead(int status, std::string_view reason, const http_fields &fields,
                             std::optional<std::uint64_t> length)
{
    // Unread bytes of a body can't be told apart from the next request.
    if (!m_body.isComplete())
        m_keepAlive = false;
    const bool noBody = status == noContent || status == notModified;
    m_hasBody = !noBody && m_head.method != "HEAD";
    m_isChunked = m_hasBody && !length && m_head.isHttp11;
    if (m_hasBody && !length && !m_isChunked)
        m_keepAlive = false;
    std::string text;
    const auto to = std::back_inserter(text);
    fmt::format_to(to, "HTTP/1.1 {} {}\r\n", status, reason);
    bool hasDate = false;
    for (const auto &[name, value] : fields) {
        if (equalsIgnoreCase(name, "Date")) {
            if (hasDate)
                continue;
            hasDate = true;
        }
        fmt::format_to(to, "{}: {}\r\n", name, value);
    }
    if (!hasDate)
        fmt::format_to(
            to, "Date: {}\r\n",
            Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::HTTP_FORMAT));
    if (length && !noBody)
        fmt::format_to(to, "Content-Length: {}\r\n", *length);
    else if (m_isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    text += m_keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    m_isHeadSent = true;
    if (m_hasBody)
        m_remainingBytes = length;
    write(text);
}

void http_exchange::sendBody(std::string_view bytes)
{
    if (!m_hasBody || bytes.empty())
        return;
    if (m_remainingBytes) {
        bytes = bytes.substr(
            0, static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), *m_remainingBytes)));
        *m_remainingBytes -= bytes.size();
    }
    if (!m_isChunked)
        return write(bytes);
    std::string chunk = fmt::format("{:x}\r\n", bytes.size());
    chunk += bytes;
    chunk += "\r\n";
    write(chunk);
}

void http_exchange::finish()
{
    if (m_isChunked)
        write("0\r\n\r\n");
    if (m_remainingBytes && *m_remainingBytes > 0)
        return abort();
    m_isFinished = true;
}

void http_exchange::reply(int status, const http_fields &fields, std::string_view body)
{
    sendHead(status, reasonPhrase(status), fields, body.size());
    sendBody(body);
    finish();
}

void http_exchange::abort()
{
    m_isAborted = true;
    m_keepAlive = false;
    m_stream.abort();
}

} // namespace buckthorngrade
