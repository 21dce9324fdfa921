#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace buckthorngrade {

// Answers HTTP requests. Called from many threads at a time.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void handle(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
        = 0;
};

struct http_listener_options
{
    std::uint32_t maxConnections = 64;
    std::chrono::milliseconds idleTimeout{15'000}; // between requests on a connection
    std::chrono::milliseconds readTimeout{5'000};
};

// HTTP server on one address. Each connection has a thread of a bounded pool.
class http_listener
{
public:
    // Listens on `address` ("IP:port"; port 0 lets the system choose). `handler` must outlive this.
    // Throws error if the address can't be bound.
    http_listener(const std::string &address, http_handler &handler,
                  const http_listener_options &options);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // "IP:port" with the real port.
    std::string address() const;
    // Stops accepting; connections that are served go on.
    void stopAccepting();

private:
    Poco::ThreadPool m_pool;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

// Sends a complete answer with Content-Length.
void sendBody(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType,
              const std::string &body);

} // namespace buckthorngrade
