#pragma once

#include "base/clock.h"
#include "base/http_body.h"
#include "base/http_exchange.h"
#include "base/http_head.h"
#include "entry/link_rate_limiter.h"
#include "entry/request_body.h"
#include "entry/upstream_pool.h"
#include "steering/retry_policy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace buckthorngrade {

// The caller of a cancellable request has closed its connection.
class caller_disconnected : public entry_error
{
public:
    caller_disconnected()
        : entry_error("the caller closed the connection")
    { }
};

// One attempt to forward a request to one upstream. mayHaveSent() tells whether a byte of the
// request may have been sent: only bytes that the operating system never accepted for sending are
// certain not to have been.
class upstream_attempt
{
public:
    struct request
    {
        std::string method;
        std::string target;
        http_fields fields; // without framing and connection fields
        std::optional<std::uint64_t> length; // of the body; nullopt if it is chunked
        bool hasBody = false;
    };

    // References must outlive this. `region` is the upstream's region if the link to it is
    // rate-limited, else empty.
    upstream_attempt(upstream_pool &pool, link_rate_limiter &linkLimiter,
                     const upstream_spec &upstream, std::string region);

    // Sends the request and reads the head of the response. Returns where it failed, or nullopt if
    // response() is valid. `cancelDescriptor` is the descriptor of the caller's connection, whose
    // end cancels the request, or -1. Throws caller_disconnected if the request is cancelled, and
    // caller_error if the body cannot be read.
    std::optional<failure_point> run(const request &outgoing, request_body &body,
                                     steady_time deadline, int cancelDescriptor);

    const http_head &response() const { return m_response; }
    // Reads part of the response body. Returns 0 if it is complete. Throws socket_error or
    // http_error.
    std::size_t readBody(char *to, std::size_t size, steady_time deadline);
    // Returns the connection to the pool if the exchange is complete, otherwise closes it.
    void finish();
    // Ends the connection and waits, at most `limit`, until the upstream has closed it too, so that
    // the slot is not used again while the upstream still executes the request.
    void cancel(std::chrono::milliseconds limit);

    bool mayHaveSent() const { return m_mayHaveSent; }
    const std::string &failureText() const { return m_failureText; }

private:
    std::optional<failure_point> connect(steady_time deadline);
    std::optional<failure_point> sendHead(const request &outgoing, const request_body &body,
                                          steady_time deadline);
    void sendRemainingBody(const request &outgoing, request_body &body, steady_time deadline);
    std::optional<failure_point> readHead(const request &outgoing, steady_time deadline,
                                          int cancelDescriptor);
    bool sendPart(std::string_view bytes, steady_time deadline);

    upstream_pool &m_pool;
    link_rate_limiter &m_linkLimiter;
    const upstream_spec &m_upstream;
    const std::string m_region;
    upstream_pool::lease m_lease;
    http_head m_response;
    std::optional<body_reader> m_reader;
    bool m_mayHaveSent = false;
    bool m_isRequestFullySent = false;
    std::string m_failureText;
};

} // namespace buckthorngrade
