#pragma once

#include "base/http_head.h"
#include "net/byte_pacer.h"
#include "net/stream_socket.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

namespace buckthorngrade {

class server_connection;

// One request of a caller and the response to it. It stays valid while someone holds it; once the
// caller has left, respond() does nothing.
class server_exchange
{
public:
    server_exchange(http_head requestHead, steady_time arrivedAt)
        : head(std::move(requestHead))
        , arrival(arrivedAt)
    { }

    const http_head head;
    const steady_time arrival; // of the head's last byte

    // What has arrived of the body; all of it if isBodyComplete(). A long body is still arriving
    // when the request is handed on.
    const std::string &body() const { return m_body; }
    bool isBodyComplete() const { return m_isBodyComplete; }
    // Length that the head announces, or, if it announces none, what has arrived.
    std::uint64_t bodyBytes() const
    {
        return std::max<std::uint64_t>(head.contentLength, m_body.size());
    }

    // Sends the response once those to earlier requests on the connection are sent. Connection and
    // Content-Length are added; `fields` must not contain them. Later calls have no effect. What
    // is still to come of the body is read and dropped.
    void respond(int status, const http_fields &fields, std::string_view responseBody);
    // Closes the connection in place of a response.
    void abort();
    bool isFinished() const { return m_isFinished; }
    bool isCallerGone() const { return m_connection == nullptr; }
    const std::string &callerHost() const { return m_callerHost; }

    // Called once if the caller leaves, or its body turns out to be malformed, before respond().
    std::function<void()> onCallerGone;
    // Called when more of the body has arrived.
    std::function<void()> onBody;

private:
    friend class server_connection;

    server_connection *m_connection = nullptr; // null once it is closed
    std::string m_callerHost;
    std::string m_body;
    bool m_isBodyComplete = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
    std::string m_response; // waits for earlier responses
};

using exchange_pointer = std::shared_ptr<server_exchange>;

struct http_server_options
{
    std::chrono::milliseconds headTimeout{3'000}; // from the first byte of a head to its end
    std::chrono::milliseconds bodyTimeout{10'000}; // without progress
    std::chrono::milliseconds idleTimeout{15'000}; // between requests on a connection
    std::uint64_t maxBodyBytes = 64U << 20; // of one request; larger ones get 413
    // Requests with longer bodies are handed on while the body arrives.
    std::uint64_t streamedBytes = std::numeric_limits<std::uint64_t>::max();
    // Rate at which streamed bodies are read, all together; 0: no limit. Below the rate of the
    // machine's link, it keeps short the queue that other requests wait in there.
    double bodyBytesPerSecond = 0;
    std::uint64_t maxBufferedBytes = 48U << 20; // of all bodies not answered; beyond it: 503
    std::size_t maxConnections = 3'000; // beyond it, connections are closed at once
    std::size_t maxPipelined = 64; // requests of a connection that wait for their responses
    std::string retryAfter = "0.2"; // seconds, with a 503 for lack of room
    // Called with the reason of each request that was rejected as malformed.
    std::function<void(const std::string &)> onInvalid = [](const std::string &) {};
};

// HTTP/1.1 server on an event loop. Heads and framing are checked strictly. Requests are handed on
// once their body is whole or longer than `streamedBytes`, also those that were sent behind others
// on the same connection; responses keep their order.
class http_server
{
public:
    using request_handler = std::function<void(const exchange_pointer &)>;

    // Throws net_error if the address can't be bound.
    http_server(event_loop &loop, const socket_address &address, http_server_options options,
                request_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    const socket_address &address() const { return m_listener.address(); }
    // Replaces the timeouts and bounds for what comes from now on.
    void setOptions(const http_server_options &options) { m_options = options; }
    const http_server_options &options() const { return m_options; }
    // From now on each response closes its connection.
    void announceStop() { m_isClosing = true; }
    void stopAccepting() { m_listener.close(); }
    void closeIdle();
    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t openRequests() const { return m_openRequests; }

private:
    friend class server_connection;

    void accept(int descriptor);
    void remove(server_connection *connection);

    event_loop &m_loop;
    http_server_options m_options;
    request_handler m_handler;
    byte_pacer m_bodyPacer;
    stream_listener m_listener;
    bool m_isClosing = false;
    std::size_t m_openRequests = 0;
    std::uint64_t m_bufferedBytes = 0;
    std::unordered_map<server_connection *, std::unique_ptr<server_connection>> m_connections;
};

// Bytes of a response with Content-Length; `close` adds "Connection: close".
std::string formatResponse(int status, const http_fields &fields, std::string_view body, bool close,
                           bool hasBody);

} // namespace buckthorngrade
