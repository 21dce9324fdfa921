#include "entry/upstream_try.h"

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

upstream_try::upstream_try(upstream_pool &pool, link_meter &links, const upstream_spec &upstream,
                           std::string region)
    : m_pool(pool)
    , m_links(links)
    , m_upstream(upstream)
    , m_region(std::move(region))
{ }

std::optional<failure_point> upstream_try::run(const request &what, request_body &body,
                                               steady_time deadline, int cancelWith)
{
    if (const auto failure = connect(deadline))
        return failure;
    if (const auto failure = sendHead(what, body, deadline))
        return failure;
    try {
        sendRest(what, body, deadline);
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        // The upstream may have responded and closed the connection before it read the whole
        // request.
        if (failure.isTimeout())
            return failure_point::deadline_sent;
    }
    return readHead(what, deadline, cancelWith);
}

std::optional<failure_point> upstream_try::connect(steady_time deadline)
{
    if (now() >= deadline)
        return failure_point::deadline_unsent;
    try {
        m_lease = m_pool.take(m_upstream, std::min(deadline, now() + connectTimeout));
        return std::nullopt;
    } catch (const socket_error &failure) {
        m_failureText = failure.what();
        return now() >= deadline ? failure_point::deadline_unsent : failure_point::connect_failed;
    }
}

std::optional<failure_point> upstream_try::sendHead(const request &what, const request_body &body,
                                                    steady_time deadline)
{
    std::string text;
    const auto to = std::back_inserter(text);
    fmt::format_to(to, "{} {} HTTP/1.1\r\nHost: {}\r\n", what.method, what.target,
                   m_upstream.address);
    for (const auto &[name, value] : what.fields)
        fmt::format_to(to, "{}: {}\r\n", name, value);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now());
    fmt::format_to(to, "Buckthorn-Deadline-Ms: {}\r\n", std::max<std::int64_t>(left.count(), 1));
    if (what.hasBody && what.length)
        fmt::format_to(to, "Content-Length: {}\r\n", *what.length);
    else if (what.hasBody)
        text += "Transfer-Encoding: chunked\r\n";
    text += "Connection: keep-alive\r\n\r\n";
    const std::string_view first = body.firstPart();
    if (what.hasBody && !what.length && !first.empty())
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
        m_links.pace(m_region, link_meter::direction::request, text.size(), deadline);
    return std::nullopt;
}

// Returns false if the upstream has already responded, so that the rest need not be sent.
bool upstream_try::sendPart(std::string_view bytes, steady_time deadline)
{
    if (m_lease.stream->writeUntilReadable(bytes, deadline) != bytes.size())
        return false;
    if (!m_region.empty())
        m_links.pace(m_region, link_meter::direction::request, bytes.size(), deadline);
    return true;
}

void upstream_try::sendRest(const request &what, request_body &body, steady_time deadline)
{
    while (true) {
        const std::string_view part = body.readOn(deadline);
        if (part.empty())
            break;
        const bool isSent = what.length
            ? sendPart(part, deadline)
            : sendPart(fmt::format("{:x}\r\n{}\r\n", part.size(), part), deadline);
        if (!isSent)
            return;
    }
    if (what.hasBody && !what.length && !sendPart("0\r\n\r\n", deadline))
        return;
    m_isRequestWhole = true;
}

std::optional<failure_point> upstream_try::readHead(const request &what, steady_time deadline,
                                                    int cancelWith)
{
    socket_stream &stream = *m_lease.stream;
    try {
        while (true) {
            std::optional<std::size_t> size;
            while (!(size = findHeadEnd(stream.buffered()))) {
                const int events = waitForEvents(stream.descriptor(), POLLIN, deadline, cancelWith);
                if (events < 0)
                    throw caller_left();
                if (events == 0)
                    return failure_point::deadline_sent;
                if (!stream.fill(deadline)) {
                    m_failureText = "the upstream closed the connection without a response";
                    return failure_point::sent_no_head;
                }
            }
            m_response
                = parseResponseHead(stream.buffered().substr(0, *size), what.method == "HEAD");
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

std::size_t upstream_try::readBody(char *to, std::size_t size, steady_time deadline)
{
    const std::size_t count = m_reader->read(to, size, deadline);
    if (count > 0 && !m_region.empty())
        m_links.pace(m_region, link_meter::direction::response, count, deadline);
    return count;
}

void upstream_try::finish()
{
    if (m_lease.stream && m_reader && m_reader->isComplete() && m_isRequestWhole
        && m_response.keepAlive)
        m_pool.giveBack(m_upstream, std::move(m_lease));
    m_reader.reset();
    m_lease.stream.reset();
}

void upstream_try::cancel(std::chrono::milliseconds limit)
{
    m_reader.reset();
    if (m_lease.stream && m_mayHaveSent)
        m_lease.stream->endAndAwaitPeer(now() + limit);
    m_lease.stream.reset();
}

} // namespace buckthorngrade
