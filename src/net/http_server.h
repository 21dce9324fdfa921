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

// One request of a caller and its response. It remains valid while any exchange_pointer refers to
// it. After the caller has disconnected, respond() has no effect.
class server_exchange
{
public:
    server_exchange(http_head requestHead, steady_time arrivedAt)
        : head(std::move(requestHead))
        , arrival(arrivedAt)
    { }

    const http_head head;
    const steady_time arrival; // when the last byte of the head was read

    // Returns the part of the body that has arrived, which is all of it if isBodyComplete(). The
    // handler gets a request with a long body before the body is complete.
    const std::string &body() const { return m_body; }
    bool isBodyComplete() const { return m_isBodyComplete; }
    // Returns the announced length of the body, or the received length if none was announced.
    std::uint64_t bodyBytes() const
    {
        return std::max<std::uint64_t>(head.contentLength, m_body.size());
    }

    // Sends the response after the responses to earlier requests on the connection. Adds Connection
    // and Content-Length, which `fields` must not contain. Later calls have no effect. The rest of
    // the request body is read and discarded.
    void respond(int status, const http_fields &fields, std::string_view responseBody);
    // Resets the connection instead of sending a response.
    void abort();
    bool isFinished() const { return m_isFinished; }
    bool isCallerGone() const { return m_connection == nullptr; }
    const std::string &callerHost() const { return m_callerHost; }

    // Called once if, before respond(), the caller disconnects or the rest of its body is rejected,
    // for example as malformed.
    std::function<void()> onCallerGone;
    // Called when more of the body has arrived after the request was passed to the handler.
    std::function<void()> onBody;

private:
    friend class server_connection;

    server_connection *m_connection = nullptr; // null after it is closed
    std::string m_callerHost;
    std::string m_body;
    bool m_isBodyComplete = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
    std::string m_response; // queued behind earlier responses
};

using exchange_pointer = std::shared_ptr<server_exchange>;

struct http_server_options
{
    std::chrono::milliseconds headTimeout{3'000}; // from the first to the last byte of a head
    std::chrono::milliseconds bodyTimeout{10'000}; // without progress
    // Between the last byte of a response, as delivered, and the next request.
    std::chrono::milliseconds idleTimeout{15'000};
    // A connection is closed if its caller takes no byte of its responses for this time, which is
    // longer than callers wait for a response.
    std::chrono::milliseconds deliveryTimeout{30'000};
    std::uint64_t maxBodyBytes = 64U << 20; // per request; larger bodies get 413
    // Requests with longer bodies are passed to the handler before the body is complete.
    std::uint64_t streamingThresholdBytes = std::numeric_limits<std::uint64_t>::max();
    // Total rate at which streamed bodies are read; 0 means no limit. A rate below the bandwidth of
    // the machine's network link keeps the link's queue, which delays other requests, short.
    double bodyBytesPerSecond = 0;
    std::uint64_t maxBufferedBytes = 48U << 20; // total for all unanswered requests; beyond it: 503
    std::size_t maxConnections = 3'000; // further connections are closed immediately
    std::size_t maxPipelined = 64; // unanswered requests per connection
    // While a connection, or all together, hold more bytes of unsent responses, no further request
    // is read from a connection that waits for a response or has unsent bytes of one. The total
    // fits beside the request bodies above and what reverse_proxy receives of responses.
    std::uint64_t maxUnsentBytesPerConnection = 1U << 20;
    std::uint64_t maxUnsentBytes = 24U << 20;
    std::string retryAfter = "0.2"; // seconds; sent with a 503 when maxBufferedBytes is exceeded
    // Called with the reason for each request that the server rejects, for example as malformed.
    std::function<void(const std::string &)> onInvalid = [](const std::string &) {};
    // Called with the number of bytes that a caller did not take within `deliveryTimeout`.
    std::function<void(std::uint64_t)> onUndelivered = [](std::uint64_t) {};
};

// HTTP/1.1 server on an event loop. Heads and framing are validated strictly. A request is passed
// to the handler as soon as its body is complete or longer than `streamingThresholdBytes`.
// Pipelined requests are handled concurrently; their responses are sent in the order of the
// requests.
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
    // Replaces the timeouts and limits. Applies to subsequent reads; `bodyBytesPerSecond` keeps its
    // initial value.
    void setOptions(const http_server_options &options) { m_options = options; }
    const http_server_options &options() const { return m_options; }
    // Makes connections close after the response to their last pending request.
    void announceStop() { m_isClosing = true; }
    void stopAccepting() { m_listener.close(); }
    void closeIdle();
    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t openRequests() const { return m_openRequests; }
    // Returns whether a request has no response yet or a response is not delivered completely.
    bool owesResponses() const;
    // Returns the size of the responses that callers have not taken yet and that are not in the
    // kernel's buffers.
    std::uint64_t unsentBytes() const { return m_unsentBytes; }
    // Returns the size of the bodies of all unanswered requests, which is limited by
    // `maxBufferedBytes`.
    std::uint64_t bufferedBytes() const { return m_bufferedBytes; }

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
    std::uint64_t m_unsentBytes = 0;
    std::unordered_map<server_connection *, std::unique_ptr<server_connection>> m_connections;
};

// Serializes a response with Content-Length. `close` adds "Connection: close". `hasBody` is false
// for the response to a HEAD request, which omits the body.
std::string formatResponse(int status, const http_fields &fields, std::string_view body, bool close,
                           bool hasBody);

} // namespace buckthorngrade
