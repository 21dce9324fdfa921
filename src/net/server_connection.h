#pragma once

#include "net/body_decoder.h"
#include "net/http_server.h"

#include <deque>
#include <optional>

namespace buckthorngrade {

// A caller's connection to an http_server.
class server_connection
{
public:
    server_connection(http_server &server, event_loop &loop, int descriptor);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    // Called when an exchange of this connection has a response or was aborted.
    void exchangeFinished();
    // Returns whether a request has no response yet or a response is not delivered completely. Such
    // a connection is not idle, and must not be closed by a timer or a stop while the caller reads.
    bool owesResponse() const
    {
        return !m_pendingExchanges.empty() || m_socket.undeliveredBytes() > 0;
    }
    bool isIdle() const
    {
        return !owesResponse() && !m_currentExchange && m_socket.input().empty();
    }
    void close();

private:
    struct pending_exchange
    {
        exchange_pointer exchange;
        bool keepAlive;
    };

    void processInput();
    // Returns whether further requests have to wait for the responses to earlier ones.
    bool isPipelineFull() const;
    bool hasUnparsedHead() const;
    bool readHead();
    bool readBody();
    void dispatch();
    void finishRequest();
    void updateBufferedBytes();
    void updateUnsentBytes();
    void reject(int status, const std::string &reason);
    void flushResponses();
    // Resumes or pauses reading from the socket according to the current state.
    void updateReading();
    // Records bytes of a streamed body and pauses reading to keep to the configured rate.
    void paceBody(std::uint64_t bytes);
    void armTimer();
    void armLingerTimer();
    // Returns whether bytes of a response are on their way to a caller that takes them.
    bool isDelivering();
    void handleDeliveryTimer();
    // Ends the connection if the caller sent no complete request in time.
    void handleReadTimeout();
    // Reads no further requests and closes the connection once all responses are sent.
    void closeWhenSent();
    void removeFromServer();
    void startLingeringClose();

    http_server &m_server;
    event_loop &m_loop;
    stream_socket m_socket;
    exchange_pointer m_currentExchange; // request whose body is being read
    bool m_isDispatched = false; // m_currentExchange was passed to the handler
    std::optional<body_decoder> m_decoder;
    std::uint64_t m_bodyBytes = 0; // body bytes read of m_currentExchange
    std::uint64_t m_bufferedBytes = 0; // this connection's part of the server's total
    std::uint64_t m_unsentBytes = 0; // this connection's part of the server's total
    std::uint64_t m_undeliveredBytes = 0; // when it was checked last
    steady_time m_deliveryProgressAt; // when that number changed last
    std::deque<pending_exchange> m_pendingExchanges;
    bool m_isClosing = false; // no further requests are read
    bool m_isLingering = false; // all responses are sent; further input is discarded
    bool m_isRemoved = false;
    event_loop::timer_id m_timer = 0;
    event_loop::timer_id m_paceTimer = 0; // reading is paused until it expires
};

} // namespace buckthorngrade
