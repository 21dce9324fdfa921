#include "net/server_connection.h"

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int payloadTooLarge = 413;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr std::size_t pacedReadBytes = 4 * 1024; // bytes read at once of a streamed body
constexpr std::chrono::milliseconds lingerTimeout{1'000}; // several round trips between regions
constexpr std::chrono::milliseconds deliveryCheckPeriod{500};

} // namespace

server_connection::server_connection(http_server &server, event_loop &loop, int descriptor)
    : m_server(server)
    , m_loop(loop)
    , m_socket(loop, descriptor)
{
    stream_socket::handlers handlers;
    handlers.onInput = [this] { processInput(); };
    handlers.onClosed = [this](close_reason) { removeFromServer(); };
    handlers.onSent = [this] {
        if (m_isLingering)
            return;
        updateUnsentBytes();
        if (m_isClosing && m_pendingExchanges.empty())
            startLingeringClose();
        else
            processInput(); // requests may have waited until the responses were sent
    };
    m_socket.setHandlers(std::move(handlers));
    armTimer();
}

server_connection::~server_connection()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_paceTimer);
}

void server_connection::processInput()
{
    if (m_isLingering) {
        m_socket.input().clear();
        return;
    }
    try {
        while (m_socket.isOpen() && (m_currentExchange || !m_isClosing)) {
            if (!m_currentExchange && (isPipelineFull() || !readHead()))
                break;
            const bool isComplete = readBody();
            if (!m_isDispatched
                && (isComplete
                    || m_currentExchange->body().size()
                        > m_server.m_options.streamingThresholdBytes))
                dispatch();
            if (!isComplete)
                break;
            finishRequest();
        }
    } catch (const http_error &failure) {
        reject(failure.status(), failure.what());
    }
    if (!m_socket.isOpen())
        return;
    updateBufferedBytes();
    updateReading();
    armTimer();
}

// Sets this connection's part of the server's total to the sizes of its bodies. Additions and
// subtractions wherever a body grows or is dropped have to match on every path, and a decoder may
// throw after it has appended a part of a body.
void server_connection::updateBufferedBytes()
{
    std::uint64_t bytes = 0;
    if (m_currentExchange && !m_isDispatched)
        bytes += m_currentExchange->body().size();
    for (const pending_exchange &pending : m_pendingExchanges)
        bytes += pending.exchange->body().size();
    m_server.m_bufferedBytes += bytes - m_bufferedBytes;
    m_bufferedBytes = bytes;
}

// Sets this connection's part of the server's total.
void server_connection::updateUnsentBytes()
{
    std::uint64_t bytes = m_socket.isOpen() ? m_socket.unsentBytes() : 0;
    for (const pending_exchange &pending : m_pendingExchanges)
        bytes += pending.exchange->m_response.size();
    m_server.m_unsentBytes += bytes - m_unsentBytes;
    m_unsentBytes = bytes;
}

void server_connection::updateReading()
{
    // Unread input stays in the kernel's buffer until earlier requests are answered.
    const bool isBlocked = !m_currentExchange
        && (isPipelineFull() || (m_isClosing && m_socket.input().size() > maxHeadBytes));
    const bool isStreamed = m_currentExchange && m_isDispatched && m_server.m_bodyPacer.isLimited();
    m_socket.limitReading(isStreamed ? pacedReadBytes : stream_socket::defaultReadLimitBytes);
    m_socket.pauseReading(isBlocked || m_paceTimer != 0);
}

void server_connection::paceBody(std::uint64_t bytes)
{
    const steady_time now = m_loop.now();
    const steady_time next = m_server.m_bodyPacer.take(bytes, now);
    if (next <= now || m_paceTimer != 0)
        return;
    m_paceTimer = m_loop.runAfter(std::chrono::ceil<std::chrono::milliseconds>(next - now), [this] {
        m_paceTimer = 0;
        if (m_socket.isOpen())
            updateReading();
    });
}

bool server_connection::isPipelineFull() const
{
    const http_server_options &options = m_server.m_options;
    if (m_pendingExchanges.size() >= options.maxPipelined)
        return true;
    const bool isWaiting = !m_pendingExchanges.empty() || m_socket.hasUnsent();
    return isWaiting
        && (m_unsentBytes > options.maxUnsentBytesPerConnection
            || m_server.m_unsentBytes > options.maxUnsentBytes);
}

// Returns whether the input begins with the whole head of a request that is still to be handled.
bool server_connection::hasUnparsedHead() const
{
    const bool isBetweenRequests = !m_currentExchange || m_decoder->isComplete();
    return isBetweenRequests && !m_isClosing && findHeadEnd(m_socket.input());
}

bool server_connection::readHead()
{
    const auto end = findHeadEnd(m_socket.input());
    if (!end)
        return false;
    http_head head = parseRequestHead(std::string_view(m_socket.input()).substr(0, *end));
    m_socket.input().erase(0, *end);
    if (head.framing == body_framing::length
        && head.contentLength > m_server.m_options.maxBodyBytes)
        throw http_error(payloadTooLarge, "the body is too large");
    m_decoder.emplace(head);
    m_currentExchange = std::make_shared<server_exchange>(std::move(head), m_loop.now());
    m_isDispatched = false;
    if (m_currentExchange->head.expectsContinue && !m_decoder->isComplete()
        && m_pendingExchanges.empty())
        m_socket.send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

// Returns whether the body is complete.
bool server_connection::readBody()
{
    if (m_decoder->isComplete())
        return true;
    if (m_socket.input().empty())
        return false;
    std::string &body = m_currentExchange->m_body;
    const std::size_t before = body.size();
    const std::size_t used = m_decoder->decode(m_socket.input(), body);
    m_socket.input().erase(0, used);
    m_bodyBytes += body.size() - before;
    if (m_isDispatched)
        paceBody(body.size() - before);
    if (m_bodyBytes > m_server.m_options.maxBodyBytes)
        throw http_error(payloadTooLarge, "the body is too large");
    const bool isComplete = m_decoder->isComplete();
    if (m_currentExchange->m_isFinished) {
        // The rest of the body is discarded, but must be read because the next request follows it.
        body.clear();
        return isComplete;
    }
    updateBufferedBytes();
    if (m_server.m_bufferedBytes > m_server.m_options.maxBufferedBytes)
        throw http_error(unavailable, "no room for further bodies");
    m_currentExchange->m_isBodyComplete = isComplete;
    if (m_isDispatched && m_currentExchange->onBody)
        m_currentExchange->onBody();
    return isComplete;
}

void server_connection::dispatch()
{
    m_isDispatched = true;
    m_currentExchange->m_isBodyComplete = m_decoder->isComplete();
    m_currentExchange->m_connection = this;
    m_currentExchange->m_callerHost = m_socket.peerHost();
    m_pendingExchanges.push_back({m_currentExchange, m_currentExchange->head.keepAlive});
    ++m_server.m_openRequests;
    m_server.m_handler(exchange_pointer(m_currentExchange));
}

// Called when the request in m_currentExchange has been read completely.
void server_connection::finishRequest()
{
    // m_currentExchange is null if the response has already closed the connection.
    if (m_currentExchange && !m_currentExchange->head.keepAlive)
        m_isClosing = true;
    m_currentExchange.reset();
    m_bodyBytes = 0;
}

void server_connection::reject(int status, const std::string &reason)
{
    m_server.m_options.onInvalid(reason);
    m_isClosing = true;
    exchange_pointer exchange = std::move(m_currentExchange);
    m_currentExchange.reset();
    m_decoder.reset();
    if (!exchange || !m_isDispatched) {
        exchange = std::make_shared<server_exchange>(http_head(), m_loop.now());
        exchange->m_connection = this;
        m_pendingExchanges.push_back({exchange, false});
        ++m_server.m_openRequests;
    } else {
        if (m_pendingExchanges.empty()) {
            closeWhenSent();
            return;
        }
        m_pendingExchanges.back().keepAlive = false;
        if (exchange->m_isFinished)
            return;
        if (exchange->onCallerGone)
            exchange->onCallerGone();
        // A part of the request was passed on, so the caller must not be told that it was not
        // executed.
        if (status == unavailable || status == requestTimeout)
            status = badGateway;
    }
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
    while (!m_pendingExchanges.empty() && m_pendingExchanges.front().exchange->m_isFinished) {
        const pending_exchange first = std::move(m_pendingExchanges.front());
        m_pendingExchanges.pop_front();
        first.exchange->m_body.clear();
        --m_server.m_openRequests;
        first.exchange->m_connection = nullptr;
        if (first.exchange->m_isAborted) {
            m_socket.reset();
            removeFromServer();
            return;
        }
        // Closing the connection now would lose the responses to the requests behind this one.
        const bool isLast = m_pendingExchanges.empty() && !hasUnparsedHead();
        const bool close = !first.keepAlive || (m_server.m_isClosing && isLast);
        std::string &response = first.exchange->m_response;
        if (close)
            response.insert(response.find("\r\n") + 2, "Connection: close\r\n");
        m_socket.send(response);
        m_isClosing = m_isClosing || close;
    }
    if (m_isClosing && m_pendingExchanges.empty()) {
        m_currentExchange.reset();
        updateBufferedBytes();
        closeWhenSent();
        return;
    }
    if (!m_isClosing && !m_socket.input().empty())
        m_loop.post([server = &m_server, self = this] {
            if (server->m_connections.contains(self))
                self->processInput();
        });
    updateBufferedBytes();
    updateUnsentBytes();
    updateReading();
    armTimer();
}

void server_connection::closeWhenSent()
{
    m_isClosing = true;
    updateUnsentBytes();
    if (m_socket.hasUnsent())
        armTimer();
    else
        startLingeringClose();
}

// Lingering close: closing with unread bytes would reset the connection, and the caller could lose
// the response.
void server_connection::startLingeringClose()
{
    if (m_isLingering)
        return;
    m_isLingering = true;
    m_socket.input().clear();
    m_loop.cancel(m_paceTimer);
    m_paceTimer = 0;
    m_socket.limitReading(stream_socket::defaultReadLimitBytes);
    m_socket.pauseReading(false);
    m_socket.shutdownSending();
    armLingerTimer();
}

void server_connection::armLingerTimer()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.runAfter(lingerTimeout, [this] {
        m_timer = 0;
        if (isDelivering())
            armLingerTimer();
        else
            close();
    });
}

void server_connection::armTimer()
{
    if (m_isLingering)
        return;
    m_loop.cancel(m_timer);
    m_timer = 0;
    if (!m_socket.isOpen())
        return;
    // The rest of a head can't arrive while requests have to wait.
    const bool isReading = m_currentExchange
        || (!m_isClosing && m_pendingExchanges.empty() && !m_socket.input().empty()
            && !isPipelineFull());
    if (!isReading && m_socket.undeliveredBytes() > 0) {
        m_timer = m_loop.runAfter(deliveryCheckPeriod, [this] {
            m_timer = 0;
            handleDeliveryTimer();
        });
        return;
    }
    if (!isReading && (m_isClosing || !m_pendingExchanges.empty()))
        return;
    const http_server_options &options = m_server.m_options;
    const auto limit = m_currentExchange ? options.bodyTimeout
        : isReading                      ? options.headTimeout
                                         : options.idleTimeout;
    m_timer = m_loop.runAfter(limit, [this] {
        m_timer = 0;
        handleReadTimeout();
    });
}

bool server_connection::isDelivering()
{
    const std::uint64_t undelivered = m_socket.undeliveredBytes();
    if (undelivered != m_undeliveredBytes) {
        m_undeliveredBytes = undelivered;
        m_deliveryProgressAt = m_loop.now();
    }
    return undelivered > 0
        && m_loop.now() - m_deliveryProgressAt < m_server.m_options.deliveryTimeout;
}

void server_connection::handleDeliveryTimer()
{
    if (isDelivering() || m_undeliveredBytes == 0) {
        processInput(); // other connections may have made room for the responses to its requests
        return;
    }
    m_server.m_options.onUndelivered(m_undeliveredBytes);
    close();
}

void server_connection::handleReadTimeout()
{
    const std::size_t unfinished = m_currentExchange && m_isDispatched ? 1 : 0;
    if (m_pendingExchanges.size() > unfinished || m_socket.undeliveredBytes() > 0)
        reject(requestTimeout, "the request took too long");
    else
        close();
}

void server_connection::close()
{
    m_socket.close();
    removeFromServer();
}

void server_connection::removeFromServer()
{
    if (m_isRemoved)
        return;
    m_isRemoved = true;
    m_loop.cancel(m_timer);
    for (pending_exchange &waiting : m_pendingExchanges) {
        --m_server.m_openRequests;
        waiting.exchange->m_connection = nullptr;
        if (!waiting.exchange->m_isFinished && waiting.exchange->onCallerGone)
            waiting.exchange->onCallerGone();
    }
    m_pendingExchanges.clear();
    m_currentExchange.reset();
    updateBufferedBytes();
    updateUnsentBytes();
    m_server.remove(this);
}

} // namespace buckthorngrade
