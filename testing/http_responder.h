#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace buckthorngrade {

// A small HTTP server for tests and control ports. One thread serves one request per connection,
// one connection at a time.
class http_responder
{
public:
    // Returns the whole answer as bytes (see formatAnswer); an empty one closes the connection
    // without an answer. Exceptions become status 400 with their text.
    using handler = std::function<std::string(const Poco::Net::HTTPRequest &, const std::string &)>;

    // Throws error if `listen` ("IP:port") can't be bound.
    http_responder(const std::string &listen, handler answer);
    ~http_responder();
    http_responder(const http_responder &) = delete;
    http_responder &operator=(const http_responder &) = delete;

    std::string address() const { return m_address; }

private:
    void run();
    void serve(const Poco::Net::StreamSocket &socket);

    handler m_answer;
    Poco::Net::ServerSocket m_listener;
    std::string m_address;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
