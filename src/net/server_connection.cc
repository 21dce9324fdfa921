#include "net/server_connection.h"

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int payloadTooLarge = 413;
constexpr int unavailable = 503;
constexpr int badRequest = 400;
constexpr std::chrono::milliseconds lingerTime{1'000}; // several round trips between regions

} // namespace

server_connection::server_connection(http_server &server, event_loop &loop, int descriptor)
    : m_server(server)
    , m_loop(loop)
    , m_socket(loop, descriptor)
{
    stream_socket::handlers handlers;
    handlers.onInput = [this] { processInput(); };
    handlers.onClosed = [this](close_reason) { leave(); };
    handlers.onSent = [this] {
        if (m_isClosing && m_waiting.empty())
            lingerUntilCallerCloses();
    };
    m_socket.setHandlers(std::move(handlers));
    armTimer();
}

server_connection::~server_connection()
{
    m_loop.cancel(m_timer);
}

void server_connection::processInput()
{
    if (m_isLingering) {
        m_socket.input().clear();
        return;
    }
    try {
        while (!m_isClosing && m_socket.isOpen()) {
            if (m_waiting.size() >= m_server.m_options.maxPipelined)
                break;
            if (!m_head && !readHead())
                break;
            if (!readBody())
                break;
            dispatch();
        }
    } catch (const http_error &failure) {
        reject(failure.status(), failure.what());
    }
    if (!m_socket.isOpen())
        return;
    // The rest stays in the kernel until earlier requests are answered.
    m_socket.pauseReading(m_waiting.size() >= m_server.m_options.maxPipelined
                          || (m_isClosing && m_socket.input().size() > maxHeadBytes));
    armTimer();
}

bool server_connection::readHead()
{
    const auto end = findHeadEnd(m_socket.input());
    if (!end)
        return false;
    m_head = parseRequestHead(std::string_view(m_socket.input()).substr(0, *end));
    m_socket.input().erase(0, *end);
    m_headArrival = m_loop.now();
    if (m_head->framing == body_framing::length
        && m_head->contentLength > m_server.m_options.maxBodyBytes)
        throw http_error(payloadTooLarge, "the body is too large");
    m_decoder.emplace(*m_head);
    m_body.clear();
    if (m_head->expectsContinue && !m_decoder->isComplete() && m_waiting.empty())
        m_socket.send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool server_connection::readBody()
{
    if (m_decoder->isComplete())
        return true;
    const std::size_t before = m_body.size();
    const std::size_t used = m_decoder->decode(m_socket.input(), m_body);
    m_socket.input().erase(0, used);
    m_server.m_bufferedBytes += m_body.size() - before;
    if (m_body.size() > m_server.m_options.maxBodyBytes)
        throw http_error(payloadTooLarge, "the body is too large");
    if (m_server.m_bufferedBytes > m_server.m_options.maxBufferedBytes)
        throw http_error(unavailable, "no room for further bodies");
    return m_decoder->isComplete();
}

void server_connection::dispatch()
{
    const bool keepAlive = m_head->keepAlive;
    const std::uint64_t bytes = m_body.size();
    auto exchange
        = std::make_shared<server_exchange>(std::move(*m_head), std::move(m_body), m_headArrival);
    m_head.reset();
    m_decoder.reset();
    m_body.clear();
    exchange->m_connection = this;
    exchange->m_callerHost = m_socket.peerHost();
    m_waiting.push_back({exchange, bytes, keepAlive});
    ++m_server.m_openRequests;
    if (!keepAlive)
        m_isClosing = true;
    m_server.m_handler(exchange);
}

void server_connection::reject(int status, const std::string &reason)
{
    m_server.m_options.onInvalid(reason);
    m_isClosing = true;
    m_server.m_bufferedBytes -= m_body.size();
    m_body.clear();
    m_head.reset();
    auto exchange = std::make_shared<server_exchange>(http_head(), std::string(), m_loop.now());
    exchange->m_connection = this;
    m_waiting.push_back({exchange, 0, false});
    ++m_server.m_openRequests;
    http_fields fields;
    if (status == unavailable)
        fields.emplace_back("Retry-After", m_server.m_options.retryAfter);
    exchange->respond(status == 0 ? badRequest : status, fields, reason + "\n");
}

void server_connection::exchangeFinished()
{
    flushResponses();
}

void server_connection::flushResponses()
{
    if (!m_socket.isOpen())
        return;
    while (!m_waiting.empty() && m_waiting.front().exchange->m_isFinished) {
        const waiting_exchange first = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_server.m_bufferedBytes -= first.bodyBytes;
        --m_server.m_openRequests;
        first.exchange->m_connection = nullptr;
        if (first.exchange->m_isAborted) {
            m_socket.reset();
            leave();
            return;
        }
        // Responses behind this one would be lost if it closed the connection.
        const bool close = !first.keepAlive || (m_server.m_isClosing && m_waiting.empty());
        std::string &response = first.exchange->m_response;
        if (close)
            response.insert(response.find("\r\n") + 2, "Connection: close\r\n");
        m_socket.send(response);
        m_isClosing = m_isClosing || close;
    }
    if (m_isClosing && m_waiting.empty()) {
        if (!m_socket.hasUnsent())
            lingerUntilCallerCloses();
        return;
    }
    if (!m_isClosing && !m_socket.input().empty())
        m_loop.post([server = &m_server, self = this] {
            if (server->m_connections.contains(self))
                self->processInput();
        });
    m_socket.pauseReading(m_waiting.size() >= m_server.m_options.maxPipelined);
    armTimer();
}

// Closing with unread bytes would reset the connection, and the response could be lost with it.
void server_connection::lingerUntilCallerCloses()
{
    if (m_isLingering)
        return;
    m_isLingering = true;
    m_socket.input().clear();
    m_socket.pauseReading(false);
    m_socket.shutdownSending();
    m_loop.cancel(m_timer);
    m_timer = m_loop.runAfter(lingerTime, [this] {
        m_timer = 0;
        close();
    });
}

void server_connection::armTimer()
{
    m_loop.cancel(m_timer);
    if (!m_socket.isOpen() || (!m_waiting.empty() && !m_head))
        return;
    const http_server_options &options = m_server.m_options;
    const bool isReadingHead = !m_head && !m_socket.input().empty();
    const auto limit = m_head ? options.bodyTimeout
        : isReadingHead       ? options.headTimeout
                              : options.idleTimeout;
    m_timer = m_loop.runAfter(limit, [this] {
        m_timer = 0;
        close();
    });
}

void server_connection::close()
{
    m_socket.close();
    leave();
}

void server_connection::leave()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_loop.cancel(m_timer);
    m_server.m_bufferedBytes -= m_body.size();
    m_body.clear();
    for (waiting_exchange &waiting : m_waiting) {
        m_server.m_bufferedBytes -= waiting.bodyBytes;
        --m_server.m_openRequests;
        waiting.exchange->m_connection = nullptr;
        if (!waiting.exchange->m_isFinished && waiting.exchange->onCallerGone)
            waiting.exchange->onCallerGone();
    }
    m_waiting.clear();
    m_server.remove(this);
}

} // namespace buckthorngrade
