#include "entry/upstream_attempt.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include <poll.h>

namespace buckthorngrade {

namespace {

// Connecting takes about 1 ms within the deployments, and 110 ms between regions.
constexpr std::chrono::milliseconds connectTimeout{1'000};
constexpr int firstFinalStatus = 200;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

upstream_attempt::upstream_attempt(upstream_pool &pool, link_rate_limiter &linkLimiter,
                                   const upstream_spec &upstream, std::string region)
    : m_pool(pool)
    , m_linkLimiter(linkLimiter)
    , m_upstream(upstream)
    , m_region(std::move(region))
{ }

std::optional<failure_point> upstream_attempt::run(const request &outgoing, request_body &body,
                                                   steady_time deadline, int cancelDescriptor)
{
    if (const auto failure = connect(deadline))
        return failure;
    if (const auto failure = sendHead(outgoing, body, deadline))
        return failure;
    try {
        sendRemainingBody(outgoing, body, deadline);
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        // The upstream may have responded and closed the connection before it read the whole
        // request.
        if (failure.isTimeout())
            return failure_point::deadline_sent;
    }
    return readHead(outgoing, deadline, cancelDescriptor);
}

std::optional<failure_point> upstream_attempt::connect(steady_time deadline)
{
    if (now() >= deadline)
        return failure_point::deadline_unsent;
    try {
        m_lease = m_pool.acquire(m_upstream, std::min(deadline, now() + connectTimeout));
        return std::nullopt;
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        return now() >= deadline ? failure_point::deadline_unsent : failure_point::connect_failed;
    }
}

std::optional<failure_point>
upstream_attempt::sendHead(const request &outgoing, const request_body &body, steady_time deadline)
{
    std::string text;
    const auto to = std::back_inserter(text);
    fmt::format_to(to, "{} {} HTTP/1.1\r\nHost: {}\r\n", outgoing.method, outgoing.target,
                   m_upstream.address);
    for (const auto &[name, value] : outgoing.fields)
        fmt::format_to(to, "{}: {}\r\n", name, value);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - now());
    fmt::format_to(to, "Buckthorn-Deadline-Ms: {}\r\n",
                   std::max<std::int64_t>(remaining.count(), 1));
    if (outgoing.hasBody && outgoing.length)
        fmt::format_to(to, "Content-Length: {}\r\n", *outgoing.length);
    else if (outgoing.hasBody)
        text += "Transfer-Encoding: chunked\r\n";
    text += "Connection: keep-alive\r\n\r\n";
    const std::string_view first = body.firstPart();
    if (outgoing.hasBody && !outgoing.length && !first.empty())
        fmt::format_to(to, "{:x}\r\n{}\r\n", first.size(), first);
    else
        text += first;

    socket_stream &stream = *m_lease.stream;
    const std::uint64_t before = stream.written();
    try {
        stream.write(text, deadline);
        m_mayHaveSent = true;
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        m_mayHaveSent = stream.written() != before;
        if (!m_mayHaveSent)
            return failure.isTimeout() ? failure_point::deadline_unsent
                : m_lease.isReused     ? failure_point::reused_connection_unsent
                                       : failure_point::connect_failed;
        if (failure.isTimeout())
            return failure_point::deadline_sent;
    }
    if (!m_region.empty())
        m_linkLimiter.pace(m_region, link_rate_limiter::traffic_kind::request, text.size(),
                           deadline);
    return std::nullopt;
}

// Returns false if the upstream has already responded, so that the rest need not be sent.
bool upstream_attempt::sendPart(std::string_view bytes, steady_time deadline)
{
    if (m_lease.stream->writeUntilReadable(bytes, deadline) != bytes.size())
        return false;
    if (!m_region.empty())
        m_linkLimiter.pace(m_region, link_rate_limiter::traffic_kind::request, bytes.size(),
                           deadline);
    return true;
}

void upstream_attempt::sendRemainingBody(const request &outgoing, request_body &body,
                                         steady_time deadline)
{
    while (true) {
        const std::string_view part = body.readNext(deadline);
        if (part.empty())
            break;
        const bool isSent = outgoing.length
            ? sendPart(part, deadline)
            : sendPart(fmt::format("{:x}\r\n{}\r\n", part.size(), part), deadline);
        if (!isSent)
            return;
    }
    if (outgoing.hasBody && !outgoing.length && !sendPart("0\r\n\r\n", deadline))
        return;
    m_isRequestFullySent = true;
}

std::optional<failure_point> upstream_attempt::readHead(const request &outgoing,
                                                        steady_time deadline, int cancelDescriptor)
{
    socket_stream &stream = *m_lease.stream;
    try {
        while (true) {
            std::optional<std::size_t> size;
            while (!(size = findHeadEnd(stream.buffered()))) {
                const int events
                    = waitForEvents(stream.descriptor(), POLLIN, deadline, cancelDescriptor);
                if (events < 0)
                    throw caller_disconnected();
                if (events == 0)
                    return failure_point::deadline_sent;
                if (!stream.fill(deadline)) {
                    m_failureText = "the upstream closed the connection without a response";
                    return failure_point::sent_no_head;
                }
            }
            m_response
                = parseResponseHead(stream.buffered().substr(0, *size), outgoing.method == "HEAD");
            stream.consume(*size);
            if (m_response.status >= firstFinalStatus)
                break;
        }
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        return failure.isTimeout() ? failure_point::deadline_sent : failure_point::sent_no_head;
    } catch (const http_error &failure) {
        m_failureText = fmt::format("malformed response: {}", failure.what());
        return failure_point::sent_no_head;
    }
    m_reader.emplace(stream, m_response);
    return std::nullopt;
}

std::size_t upstream_attempt::readBody(char *to, std::size_t size, steady_time deadline)
{
    const std::size_t count = m_reader->read(to, size, deadline);
    if (count > 0 && !m_region.empty())
        m_linkLimiter.pace(m_region, link_rate_limiter::traffic_kind::response, count, deadline);
    return count;
}

void upstream_attempt::finish()
{
    if (m_lease.stream && m_reader && m_reader->isComplete() && m_isRequestFullySent
        && m_response.keepAlive)
        m_pool.release(m_upstream, std::move(m_lease));
    m_reader.reset();
    m_lease.stream.reset();
}

void upstream_attempt::cancel(std::chrono::milliseconds limit)
{
    m_reader.reset();
    if (m_lease.stream && m_mayHaveSent)
        m_lease.stream->shutdownAndAwaitPeer(now() + limit);
    m_lease.stream.reset();
}

} // namespace buckthorngrade
