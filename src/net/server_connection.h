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
    bool isIdle() const { return m_waiting.empty() && !m_reading && m_socket.input().empty(); }
    void close();

private:
    struct waiting_exchange
    {
        exchange_pointer exchange;
        bool keepAlive;
    };

    void processInput();
    bool isFull() const; // no further request may wait for its response
    bool readHead();
    bool readBody();
    void dispatch();
    void finishRequest();
    void releaseBody(server_exchange &exchange);
    void reject(int status, const std::string &reason);
    void flushResponses();
    // Reads on, or leaves what comes in the kernel, as the state asks for.
    void updateReading();
    // Counts bytes of a streamed body and waits before more are read.
    void paceBody(std::uint64_t bytes);
    void armTimer();
    void leave();
    void lingerUntilCallerCloses();

    http_server &m_server;
    event_loop &m_loop;
    stream_socket m_socket;
    exchange_pointer m_reading; // the request whose body is being read
    bool m_isDispatched = false; // it was handed on
    std::optional<body_decoder> m_decoder;
    std::uint64_t m_bodyBytes = 0; // read of its body
    std::deque<waiting_exchange> m_waiting;
    bool m_isClosing = false; // no further requests are read
    bool m_isLingering = false; // everything is sent; what still comes is discarded
    bool m_isDone = false;
    event_loop::timer_id m_timer = 0;
    event_loop::timer_id m_paceTimer = 0; // reading waits for it
};

} // namespace buckthorngrade
