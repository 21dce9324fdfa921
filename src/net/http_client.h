#pragma once

#include "net/body_decoder.h"
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

// How a call ended without a whole response.
enum class call_failure {
    not_connected, // nothing was sent
    not_sent, // the connection was lost before a byte of the request was taken
    no_response, // sent, at least in part, and no response began: it may have run
    malformed, // bytes that are no response
    truncated, // the response ended early
    too_large, // larger than the bound
};

// One HTTP/1.1 connection to a server, for one call at a time. Responses are read whole. A response
// whose identification differs from the call's is left over from an earlier call and skipped.
// A server that sends without end is cut off: heads, bodies, and the numbers of interim and of
// skipped responses are bounded.
class http_client
{
public:
    // Of one call. A server that sends more is faulty.
    static constexpr std::uint32_t mostInterimResponses = 16; // 1xx
    static constexpr std::uint32_t mostSkippedResponses = 8;

    struct call
    {
        std::string request; // head and body as they are sent
        bool isWhole = true; // otherwise the rest of the body comes with append()
        bool isHead = false;
        // Returns whether a response belongs to this call; empty: all do.
        std::function<bool(const http_head &)> matches;
        // The first byte was handed to the kernel; empty: not told.
        std::function<void()> onSent;
        std::function<void(const client_response &)> onResponse;
        std::function<void(call_failure)> onFailure;
    };

    // Starts to connect. Throws net_error if there is no descriptor left.
    http_client(event_loop &loop, const socket_address &to, std::uint64_t maxResponseBytes);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // The connection must be idle. Exactly one of the callbacks is called, unless cancel() or the
    // destructor comes first.
    void start(call next);
    // Sends more of the current call's body; `isLast`: it is whole then. Nothing if the call has
    // ended.
    void append(std::string_view bytes, bool isLast);
    // Ends the call, if there is one, and closes the connection.
    void cancel();
    bool isBusy() const { return m_call.has_value(); }
    // A further call may be started: the connection stands, framing was clean, nothing is left
    // over.
    bool isReusable() const { return m_isReusable && m_socket.isOpen() && !m_call; }
    bool isConnected() const { return m_socket.isConnected(); }
    // A byte of the current call was handed to the kernel.
    bool hasSent() const { return m_socket.sentBytes() > m_sentBefore; }
    // When the server will close the idle connection, as far as it has said so.
    std::optional<std::chrono::milliseconds> announcedIdle() const { return m_announcedIdle; }
    // When the connection was made, and when the server last sent something on it.
    steady_time connectedAt() const { return m_connectedAt; }
    steady_time heardAt() const { return m_heardAt; }
    // Called when the idle connection ends: closed by the server, or here because the server sent
    // something on it.
    std::function<void(bool isByServer)> onIdleClosed = [](bool) {};

private:
    void tellSent();
    void readInput();
    bool readHead();
    void finish();
    void fail(call_failure failure);
    void handleClosed(close_reason reason);

    event_loop &m_loop;
    std::uint64_t m_maxResponseBytes;
    stream_socket m_socket;
    std::optional<call> m_call;
    std::optional<client_response> m_response;
    std::optional<body_decoder> m_decoder;
    bool m_isSkipping = false; // the response being read belongs to an earlier call
    std::uint32_t m_interim = 0; // 1xx responses to the current call
    std::uint32_t m_skipped = 0;
    std::uint64_t m_sentBefore = 0;
    steady_time m_connectedAt;
    steady_time m_heardAt;
    bool m_isWhole = true; // the current call's request was handed over whole
    bool m_isReusable = true;
    std::optional<std::chrono::milliseconds> m_announcedIdle;
};

} // namespace buckthorngrade
