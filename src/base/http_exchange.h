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

// One request on a server-side connection and its response. Not thread-safe. Member functions that
// read or write throw socket_error if the connection fails.
class http_exchange
{
public:
    // `stream` must outlive this object. `readTimeout` and `sendTimeout` limit each wait for
    // progress, not the whole transfer.
    http_exchange(socket_stream &stream, http_head head, std::string clientAddress,
                  std::chrono::milliseconds readTimeout, std::chrono::milliseconds sendTimeout,
                  bool keepAlive);

    const http_head &head() const { return m_head; }
    // IP address without port.
    const std::string &clientAddress() const { return m_clientAddress; }

    // Reads up to `size` bytes of the request body. Returns 0 once the complete body has been read.
    // Sends 100 Continue first if the caller expects it. Throws http_error for malformed framing.
    std::size_t readBody(char *to, std::size_t size, steady_time deadline = steady_time::max());
    bool isBodyComplete() const { return m_body.isComplete(); }

    // Sends the response head. Adds the Connection and framing fields, which `fields` must not
    // contain, and Date if `fields` has none. Without `length` the body is chunked, or, for an
    // HTTP/1.0 caller, delimited by the end of the connection.
    void sendHead(int status, std::string_view reason, const http_fields &fields,
                  std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    // Ends the response. Aborts the connection if the body is shorter than the announced length.
    void finish();
    // Sends a complete response.
    void reply(int status, const http_fields &fields, std::string_view body);
    // Resets the connection, so that the caller can't mistake a partial response for a complete
    // one.
    void abort();
    // Closes the connection after the response.
    void setClosing() { m_keepAlive = false; }

    bool isHeadSent() const { return m_isHeadSent; }
    bool isFinished() const { return m_isFinished; }
    bool isAborted() const { return m_isAborted; }
    bool keepAlive() const { return m_keepAlive; }
    bool hasCallerDisconnected() const { return m_stream.hasPeerDisconnected(); }
    int descriptor() const { return m_stream.descriptor(); }

private:
    void write(std::string_view bytes);

    socket_stream &m_stream;
    const http_head m_head;
    const std::string m_clientAddress;
    const std::chrono::milliseconds m_readTimeout;
    const std::chrono::milliseconds m_sendTimeout;
    body_reader m_body;
    std::optional<std::uint64_t> m_remainingBytes; // bytes still to be sent of the announced length
    bool m_isChunked = false;
    bool m_hasBody = true;
    bool m_keepAlive;
    bool m_continueSent = false;
    bool m_isHeadSent = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
};

// Returns the standard reason phrase of a status code.
std::string reasonPhrase(int status);

} // namespace buckthorngrade
