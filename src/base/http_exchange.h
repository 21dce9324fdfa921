#pragma once

#include "base/http_body.h"
#include "base/http_head.h"
#include "base/socket_stream.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// One request on a server's connection and the response to it. Used by one thread. Members that
// read or write throw socket_error when the connection fails.
class http_exchange
{
public:
    // `stream` must outlive this. `readTimeout` and `sendTimeout` bound each wait for progress.
    http_exchange(socket_stream &stream, http_head head, std::string clientAddress,
                  std::chrono::milliseconds readTimeout, std::chrono::milliseconds sendTimeout,
                  bool keepAlive);

    const http_head &head() const { return m_head; }
    // IP address without port.
    const std::string &clientAddress() const { return m_clientAddress; }

    // Reads up to `size` bytes of the request's body; 0 at its clean end. Asks for the body first
    // if the caller waits for that. Throws http_error for malformed framing.
    std::size_t readBody(char *to, std::size_t size, steady_time deadline = steady_time::max());
    bool isBodyComplete() const { return m_body.isComplete(); }

    // Sends the response's head. Connection, Date and the framing fields are added here; `fields`
    // must not contain them, except Date. Without `length` the body is chunked, or ends with the
    // connection for an HTTP/1.0 caller.
    void sendHead(int status, std::string_view reason, const http_fields &fields,
                  std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    // Ends the response. The connection is closed if it is not as long as announced.
    void finish();
    // Sends a whole response.
    void reply(int status, const http_fields &fields, std::string_view body);
    // Closes the connection, so that the caller can't take what was sent for a whole response.
    void abort();
    // The connection is closed after the response.
    void setClosing() { m_keepAlive = false; }

    bool isHeadSent() const { return m_isHeadSent; }
    bool isFinished() const { return m_isFinished; }
    bool isAborted() const { return m_isAborted; }
    bool keepAlive() const { return m_keepAlive; }
    bool hasCallerLeft() const { return m_stream.hasPeerLeft(); }
    int descriptor() const { return m_stream.descriptor(); }

private:
    void write(std::string_view bytes);

    socket_stream &m_stream;
    const http_head m_head;
    const std::string m_clientAddress;
    const std::chrono::milliseconds m_readTimeout;
    const std::chrono::milliseconds m_sendTimeout;
    body_reader m_body;
    std::optional<std::uint64_t> m_left; // of the response's announced length
    bool m_isChunked = false;
    bool m_hasBody = true;
    bool m_keepAlive;
    bool m_continueSent = false;
    bool m_isHeadSent = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
};

// Standard reason phrase of a status.
std::string reasonOf(int status);

} // namespace buckthorngrade
