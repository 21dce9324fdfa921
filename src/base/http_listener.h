#pragma once

#include "base/http_exchange.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace buckthorngrade {

// Handles HTTP requests through POCO's request and response classes. Implementations must
// be thread-safe.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void handle(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
        = 0;
};

// Handles HTTP requests with direct control over the connection. Implementations must be
// thread-safe.
class exchange_handler
{
public:
    virtual ~exchange_handler() = default;
    virtual void handle(http_exchange &exchange) = 0;
};

struct http_listener_options
{
    std::uint32_t maxConnections = 64;
    std::chrono::milliseconds idleTimeout{15'000}; // between requests on a connection
    std::chrono::milliseconds readTimeout{5'000}; // for a complete head; for each read of a body
    std::chrono::milliseconds sendTimeout{20'000}; // without progress
    // Called with the reason for each request that is rejected as malformed.
    std::function<void(const std::string &)> onInvalid{};
};

// Thread-per-connection HTTP server on one address. Heads and body framing are validated strictly
// before a handler sees them; a malformed request gets a 4xx or 5xx response, usually 400, and its
// connection is closed. Each connection uses one thread of a bounded pool; connections beyond
// `maxConnections` get 503. While more than half of `maxConnections` are waiting for a request, the
// timeout of waiting connections is reduced to `reducedTimeout`, so that idle and slow clients
// can't exhaust the threads.
class http_listener
{
public:
    static constexpr std::chrono::milliseconds reducedTimeout{1'000};

    // Listens on `address` ("IP:port"; port 0 lets the system choose). `handler` must outlive this
    // object. Throws error if the address can't be bound.
    http_listener(const std::string &address, http_handler &handler,
                  const http_listener_options &options);
    http_listener(const std::string &address, exchange_handler &handler,
                  const http_listener_options &options);
    // Shuts down the remaining connections and waits for their threads.
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // Returns "IP:port" with the actual port.
    std::string address() const { return m_address; }
    // Makes each subsequent response close its connection.
    void announceStop() { m_isClosing = true; }
    // Stops accepting connections and closes idle ones. Requests in progress continue.
    void stopAccepting();
    // Number of requests of which at least one byte has arrived and whose response is not finished.
    std::uint32_t activeRequests() const { return m_activeRequestCount; }
    std::uint32_t openConnections() const { return m_openConnectionCount; }

private:
    class connection;
    friend class connection;

    void open(const std::string &address);
    void acceptLoop();
    void accept();

    const http_listener_options m_options;
    std::unique_ptr<exchange_handler> m_adapter; // set if an http_handler was given
    exchange_handler &m_handler;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    std::atomic<bool> m_isClosing = false;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint32_t> m_openConnectionCount = 0;
    std::atomic<std::uint32_t> m_waitingConnectionCount = 0;
    std::atomic<std::uint32_t> m_activeRequestCount = 0;
    std::mutex m_mutex;
    std::list<std::shared_ptr<connection>> m_connections;
    Poco::ThreadPool m_pool;
    std::thread m_acceptThread;
};

// Sends a complete response with Content-Length.
void sendBody(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType,
              const std::string &body);

} // namespace buckthorngrade
