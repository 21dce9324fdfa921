#include "entry/request_body.h"

#include <algorithm>

namespace buckthorngrade {

namespace {

constexpr int requestTimeout = 408;

} // namespace

request_body::request_body(http_exchange &exchange)
    : m_exchange(exchange)
{ }

std::size_t request_body::read(char *to, std::size_t size, steady_time deadline)
{
    try {
        return m_exchange.readBody(to, size, deadline);
    } catch (const http_error &failure) {
        throw caller_error(failure.status(), failure.what());
    } catch (const socket_error &failure) {
        throw caller_error(failure.isTimeout() ? requestTimeout : 0, failure.what());
    }
}

void request_body::readFirstPart(steady_time deadline)
{
    if (m_exchange.isBodyComplete())
        return;
    const http_head &head = m_exchange.head();
    const std::size_t expected = head.framing == body_framing::length
        ? static_cast<std::size_t>(std::min<std::uint64_t>(head.contentLength, maxBufferedBytes))
        : maxBufferedBytes;
    m_firstPart.resize(expected);
    std::size_t size = 0;
    while (size < expected) {
        const std::size_t count = read(m_firstPart.data() + size, expected - size, deadline);
        if (count == 0)
            break;
        size += count;
    }
    m_firstPart.resize(size);
}

std::string_view request_body::readNext(steady_time deadline)
{
    if (m_exchange.isBodyComplete())
        return {};
    m_hasReadPastFirstPart = true;
    m_buffer.resize(maxBufferedBytes);
    return {m_buffer.data(), read(m_buffer.data(), m_buffer.size(), deadline)};
}

} // namespace buckthorngrade
