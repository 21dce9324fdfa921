#pragma once

#include "net/body_decoder.h"
#include "net/http_server.h"

#include <deque>
#include <optional>

namespace buckthorngrade {

// One caller's connection to an http_server.
class server_connection
{
public:
    server_connection(http_server &server, event_loop &loop, int descriptor);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    // The response to `exchange` is ready, or it was aborted.
    void exchangeFinished();
    bool isIdle() const { return m_waiting.empty() && !m_head && m_socket.input().empty(); }
    void close();

private:
    struct waiting_exchange
    {
        exchange_pointer exchange;
        std::uint64_t bodyBytes;
        bool keepAlive;
    };

    void processInput();
    bool readHead();
    bool readBody();
    void dispatch();
    void reject(int status, const std::string &reason);
    void flushResponses();
    void armTimer();
    void leave();
    void lingerUntilCallerCloses();

    http_server &m_server;
    event_loop &m_loop;
    stream_socket m_socket;
    std::optional<http_head> m_head; // of the request whose body is being read
    std::optional<body_decoder> m_decoder;
    std::string m_body;
    steady_time m_headArrival;
    std::deque<waiting_exchange> m_waiting;
    bool m_isClosing = false; // no further requests are read
    bool m_isLingering = false; // everything is sent; what still comes is discarded
    bool m_isDone = false;
    event_loop::timer_id m_timer = 0;
};

} // namespace buckthorngrade
