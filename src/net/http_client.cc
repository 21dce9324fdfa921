#include "net/http_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int badGateway = 502;

// Parses the timeout in "Keep-Alive: timeout=N".
std::optional<std::chrono::milliseconds> parseKeepAliveTimeout(const http_head &head)
{
    const std::string value = head.get("Keep-Alive");
    constexpr std::string_view key = "timeout=";
    const auto start = value.find(key);
    if (start == std::string::npos)
        return std::nullopt;
    std::int64_t seconds = 0;
    const char *digits = value.data() + start + key.size();
    const auto [end, failure] = std::from_chars(digits, value.data() + value.size(), seconds);
    if (failure != std::errc() || seconds < 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

http_client::http_client(event_loop &loop, const socket_address &to, std::uint64_t maxResponseBytes,
                         response_budget &budget)
    : m_loop(loop)
    , m_maxResponseBytes(maxResponseBytes)
    , m_budget(budget)
    , m_socket(loop, to)
{
    stream_socket::handlers handlers;
    handlers.onConnected = [this] {
        m_connectedAt = m_lastReceivedAt = m_loop.now();
        notifySent();
    };
    handlers.onSent = [this] { notifySent(); };
    handlers.onInput = [this] { readInput(); };
    handlers.onClosed = [this](close_reason reason) { handleClosed(reason); };
    m_socket.setHandlers(std::move(handlers));
}

http_client::~http_client()
{
    m_budget.release(*this);
}

void http_client::start(call next)
{
    m_call = std::move(next);
    m_response.reset();
    m_decoder.reset();
    m_isSkipping = false;
    m_interimResponses = 0;
    m_skippedResponses = 0;
    m_sentBytesBeforeCall = m_socket.sentBytes();
    if (!m_socket.isOpen()) {
        fail(call_failure::not_sent);
        return;
    }
    m_isRequestComplete = m_call->isRequestComplete;
    m_socket.send(m_call->request);
    m_call->request.clear();
    notifySent();
}

void http_client::notifySent()
{
    if (m_call && m_call->onSent && hasSent())
        std::exchange(m_call->onSent, nullptr)();
}

void http_client::append(std::string_view bytes, bool isLast)
{
    if (!m_call || m_isRequestComplete)
        return;
    m_isRequestComplete = isLast;
    m_socket.send(bytes);
}

void http_client::cancel()
{
    m_call.reset();
    m_isReusable = false;
    m_socket.close();
    m_response.reset();
    m_budget.release(*this);
}

void http_client::readInput()
{
    m_lastReceivedAt = m_loop.now();
    if (!m_call) {
        // Bytes received without a call can't be assigned to a request.
        m_isReusable = false;
        m_socket.close();
        onIdleClosed(false);
        return;
    }
    try {
        while (m_call && !m_socket.input().empty()) {
            if (!m_response && !readHead())
                return;
            const std::size_t used = m_decoder->decode(m_socket.input(), m_response->body);
            m_socket.input().erase(0, used);
            if (m_isSkipping) {
                m_skippedBytes += m_response->body.size();
                m_response->body.clear();
            }
            if (m_skippedBytes + m_response->body.size() > m_maxResponseBytes) {
                fail(call_failure::too_large);
                return;
            }
            if (m_decoder->isComplete()) {
                finish();
                continue;
            }
            // May reject this response.
            m_budget.hold(*this, m_response->body.size());
            return;
        }
    } catch (const http_error &) {
        fail(call_failure::malformed);
    }
}

bool http_client::readHead()
{
    http_head head;
    do {
        const auto end = findHeadEnd(m_socket.input());
        if (!end)
            return false;
        head
            = parseResponseHead(std::string_view(m_socket.input()).substr(0, *end), m_call->isHead);
        m_socket.input().erase(0, *end);
        if (head.status < firstFinalStatus && ++m_interimResponses > maxInterimResponses)
            throw http_error(badGateway, "too many interim responses");
    } while (head.status < firstFinalStatus);
    if (head.framing == body_framing::length && head.contentLength > m_maxResponseBytes) {
        fail(call_failure::too_large);
        return false;
    }
    const response_owner owner
        = m_call->ownerOf ? m_call->ownerOf(head) : response_owner::current_call;
    // A response that lasts until the connection ends can't be skipped: what follows it would be
    // taken for its body.
    if (owner == response_owner::unknown
        || (owner == response_owner::other_call && head.framing == body_framing::until_close)) {
        fail(call_failure::unassigned);
        return false;
    }
    m_isSkipping = owner == response_owner::other_call;
    if (m_isSkipping && ++m_skippedResponses > maxSkippedResponses)
        throw http_error(badGateway, "too many responses to other requests");
    // If the response arrived before the request was sent completely, the upstream could take the
    // rest of the request for another request.
    if (m_isSkipping || !head.keepAlive || m_socket.hasUnsent() || !m_isRequestComplete)
        m_isReusable = false;
    if (const auto idle = parseKeepAliveTimeout(head))
        m_serverIdleTimeout = idle;
    if (!m_isSkipping && m_call->onHead)
        m_call->onHead(head);
    m_decoder.emplace(head);
    m_skippedBytes = 0;
    m_response.emplace(client_response{std::move(head), {}});
    // An empty body is already complete.
    if (m_decoder->isComplete() && m_socket.input().empty())
        finish();
    return m_response.has_value();
}

void http_client::finish()
{
    const client_response response = std::move(*m_response);
    m_response.reset();
    m_budget.release(*this);
    if (m_isSkipping) {
        m_isSkipping = false;
        return;
    }
    if (!m_socket.input().empty())
        m_isReusable = false;
    const call ended = std::move(*m_call);
    m_call.reset();
    if (!m_isReusable)
        m_socket.close();
    ended.onResponse(response);
}

void http_client::fail(call_failure failure)
{
    m_isReusable = false;
    m_socket.close();
    m_response.reset();
    m_budget.release(*this);
    if (!m_call)
        return;
    const call ended = std::move(*m_call);
    m_call.reset();
    ended.onFailure(failure);
}

void http_client::rejectResponse()
{
    fail(call_failure::too_large);
}

void http_client::handleClosed(close_reason reason)
{
    if (!m_call) {
        m_isReusable = false;
        onIdleClosed(true);
        return;
    }
    if (m_response && !m_isSkipping && reason == close_reason::ended
        && m_decoder->endsWithConnection()) {
        m_isReusable = false;
        finish();
        return;
    }
    if (!m_socket.isConnected())
        fail(call_failure::not_connected);
    else if (!hasSent())
        fail(call_failure::not_sent);
    else if (m_response && !m_isSkipping)
        fail(call_failure::truncated);
    else
        fail(call_failure::no_response);
}

} // namespace buckthorngrade
