#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace buckthorngrade {

// A TCP server that passes its connections, one at a time, to a handler of the test.
class raw_server
{
public:
    // Runs on the server's thread. Poco::Exceptions that it throws are ignored; they mean that the
    // peer closed the connection.
    using handler = std::function<void(Poco::Net::StreamSocket &)>;

    explicit raw_server(handler serve);
    // Waits for the handler to return.
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    std::string address() const { return m_listener.address().toString(); }
    std::uint16_t port() const { return m_listener.address().port(); }
    // Number of connections accepted so far.
    int connections() const { return m_connections; }
    // Makes the server's side of later connections so narrow that a peer can't hand 64 KB to its
    // kernel before some of it has been read.
    void limitBuffers();

private:
    void run(const handler &serve);

    Poco::Net::ServerSocket m_listener;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
