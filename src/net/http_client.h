#pragma once

#include "net/body_decoder.h"
#include "net/response_budget.h"
#include "net/stream_socket.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthorngrade {

struct client_response
{
    http_head head;
    std::string body;
};

// Reason why a call ended without a complete response.
enum class call_failure {
    not_connected, // nothing was sent
    not_sent, // the connection was lost before the kernel accepted any byte of the request
    no_response, // sent at least partly, but no response started; it may have been executed
    malformed, // the received bytes are not a valid response
    truncated, // the response ended early
    unassigned, // the response doesn't say to which request it belongs
    too_large, // the response exceeds a size limit
};

// To which call a response belongs.
enum class response_owner {
    current_call,
    other_call,
    unknown,
};

// One HTTP/1.1 connection to a server, for one call at a time. Responses are buffered completely. A
// response to another call is skipped, unless it has no end. One that can't be assigned to any call
// ends the current one, because the bytes that follow it can't be trusted either. The sizes of
// heads and bodies and the numbers of interim and skipped responses are limited, so that a server
// can't send data without end. The bodies of all connections together are limited by a
// response_budget.
class http_client final : private response_budget::receiver
{
public:
    // Limits for one call. A server that exceeds them is treated as faulty.
    static constexpr std::uint32_t maxInterimResponses = 16; // 1xx
    static constexpr std::uint32_t maxSkippedResponses = 8;

    struct call
    {
        std::string request; // head and body as sent on the wire
        bool isRequestComplete = true; // otherwise append() adds the rest of the body
        bool isHead = false;
        // Returns to which call a response belongs. If empty, all belong to this one.
        std::function<response_owner(const http_head &)> ownerOf;
        // Called when the kernel has accepted the first byte of the request. May be empty.
        std::function<void()> onSent;
        // Called when the head of the response has arrived, before its body. Must not use the
        // connection. May be empty.
        std::function<void(const http_head &)> onHead;
        std::function<void(const client_response &)> onResponse;
        std::function<void(call_failure)> onFailure;
    };

    // Starts connecting. Throws net_error if the connection can't be initiated, for example because
    // no file descriptors are available. `budget` must outlive this object.
    http_client(event_loop &loop, const socket_address &to, std::uint64_t maxResponseBytes,
                response_budget &budget);
    ~http_client() override;
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // Starts a call. The connection must be idle. Exactly one of onResponse and onFailure is
    // called, unless cancel() or the destructor is called first.
    void start(call next);
    // Sends more of the current call's body. `isLast` marks the end of the body. Does nothing if
    // the call has ended.
    void append(std::string_view bytes, bool isLast);
    // Cancels the current call, if any, and closes the connection.
    void cancel();
    bool isBusy() const { return m_call.has_value(); }
    // Returns whether another call may be started: the connection is open, all responses were
    // framed correctly and no bytes are left over.
    bool isReusable() const { return m_isReusable && m_socket.isOpen() && !m_call; }
    bool isConnected() const { return m_socket.isConnected(); }
    // Returns whether the kernel has accepted any byte of the current call.
    bool hasSent() const { return m_socket.sentBytes() > m_sentBytesBeforeCall; }
    // Returns the time after which the server closes the idle connection, if it sent a Keep-Alive
    // timeout.
    std::optional<std::chrono::milliseconds> serverIdleTimeout() const
    {
        return m_serverIdleTimeout;
    }
    // Times at which the connection was established and data was last received on it.
    steady_time connectedAt() const { return m_connectedAt; }
    steady_time lastReceivedAt() const { return m_lastReceivedAt; }
    // Called when the idle connection is closed, either by the server or by this client because the
    // server sent data without a call.
    std::function<void(bool isByServer)> onIdleClosed = [](bool) {};

private:
    void notifySent();
    void readInput();
    bool readHead();
    void finish();
    void fail(call_failure failure);
    void rejectResponse() override;
    void handleClosed(close_reason reason);

    event_loop &m_loop;
    std::uint64_t m_maxResponseBytes;
    response_budget &m_budget;
    stream_socket m_socket;
    std::optional<call> m_call;
    std::optional<client_response> m_response;
    std::optional<body_decoder> m_decoder;
    std::uint64_t m_skippedBytes = 0; // of the body of a response that is skipped
    bool m_isSkipping = false; // the current response belongs to an earlier call
    std::uint32_t m_interimResponses = 0; // 1xx responses to the current call
    std::uint32_t m_skippedResponses = 0;
    std::uint64_t m_sentBytesBeforeCall = 0;
    steady_time m_connectedAt;
    steady_time m_lastReceivedAt;
    bool m_isRequestComplete = true; // the current call's request has been passed in completely
    bool m_isReusable = true;
    std::optional<std::chrono::milliseconds> m_serverIdleTimeout;
};

} // namespace buckthorngrade
