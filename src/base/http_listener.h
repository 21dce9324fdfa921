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

// Answers HTTP requests in terms of POCO's classes. Called from many threads at a time.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void handle(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
        = 0;
};

// Answers HTTP requests with control over the connection. Called from many threads at a time.
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
    std::chrono::milliseconds readTimeout{5'000}; // for a whole head; for each part of a body
    std::chrono::milliseconds sendTimeout{20'000}; // without progress
    // Called with the reason of each request that was rejected as malformed.
    std::function<void(const std::string &)> onInvalid{};
};

// HTTP server on one address. The bytes of each head and the framing of each body are checked
// strictly before anything else sees them; malformed requests get 400 and their connection is
// closed. Each connection has a thread of a bounded pool; a connection beyond the bound gets 503.
// While more than half of the connections wait for a request, waiting ones get only
// `crowdedTimeout`, so that idle and slow clients can't use up the threads.
class http_listener
{
public:
    static constexpr std::chrono::milliseconds crowdedTimeout{1'000};

    // Listens on `address` ("IP:port"; port 0 lets the system choose). `handler` must outlive this.
    // Throws error if the address can't be bound.
    http_listener(const std::string &address, http_handler &handler,
                  const http_listener_options &options);
    http_listener(const std::string &address, exchange_handler &handler,
                  const http_listener_options &options);
    // Breaks the connections that are left.
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // "IP:port" with the real port.
    std::string address() const { return m_address; }
    // From now on each response closes its connection.
    void announceStop() { m_isClosing = true; }
    // Stops accepting; idle connections are closed, requests under way go on.
    void stopAccepting();
    // Requests of which at least one byte has arrived and whose response is not finished.
    std::uint32_t activeRequests() const { return m_active; }
    std::uint32_t openConnections() const { return m_open; }

private:
    class connection;
    friend class connection;

    void open(const std::string &address);
    void acceptLoop();
    void accept();

    const http_listener_options m_options;
    std::unique_ptr<exchange_handler> m_adapter; // if a http_handler was given
    exchange_handler &m_handler;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    std::atomic<bool> m_isClosing = false;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint32_t> m_open = 0;
    std::atomic<std::uint32_t> m_waiting = 0;
    std::atomic<std::uint32_t> m_active = 0;
    std::mutex m_mutex;
    std::list<std::shared_ptr<connection>> m_connections;
    Poco::ThreadPool m_pool;
    std::thread m_acceptThread;
};

// Sends a complete answer with Content-Length.
void sendBody(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType,
              const std::string &body);

} // namespace buckthorngrade
