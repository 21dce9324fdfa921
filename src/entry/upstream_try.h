#pragma once

#include "base/clock.h"
#include "base/http_body.h"
#include "base/http_exchange.h"
#include "base/http_head.h"
#include "entry/link_meter.h"
#include "entry/request_body.h"
#include "entry/upstream_pool.h"
#include "steering/retry_policy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace buckthorngrade {

// The caller of a request that can be cancelled has left.
class caller_left : public entry_error
{
public:
    caller_left()
        : entry_error("the caller left")
    { }
};

// One attempt at one upstream. It tells exactly whether a byte of the request may have left: only
// bytes that the system never accepted for sending are certain not to have.
class upstream_try
{
public:
    struct request
    {
        std::string method;
        std::string target;
        http_fields fields; // without framing and connection fields
        std::optional<std::uint64_t> length; // of the body; empty: chunked
        bool hasBody = false;
    };

    // References must outlive this. `region` is the upstream's if its link is metered, else empty.
    upstream_try(upstream_pool &pool, link_meter &links, const upstream_spec &upstream,
                 std::string region);

    // Sends the request and reads the response's head. Returns where it failed, or nothing if
    // response() is there. `cancelWith`: descriptor of the caller's connection whose end cancels
    // the request, or -1. Throws caller_left, and caller_error if the body can't be read.
    std::optional<failure_point> run(const request &what, request_body &body, steady_time deadline,
                                     int cancelWith);

    const http_head &response() const { return m_response; }
    // Reads the response's body; 0 at its clean end. Throws socket_error or http_error.
    std::size_t readBody(char *to, std::size_t size, steady_time deadline);
    // Gives the connection back if the exchange was clean, otherwise closes it.
    void finish();
    // Ends the request at the upstream and waits, at most `limit`, until the upstream has closed
    // too, so that its slot is not used again while it still runs the request.
    void cancel(std::chrono::milliseconds limit);

    bool mayHaveSent() const { return m_mayHaveSent; }
    const std::string &failureText() const { return m_failureText; }

private:
    std::optional<failure_point> connect(steady_time deadline);
    std::optional<failure_point> sendHead(const request &what, const request_body &body,
                                          steady_time deadline);
    void sendRest(const request &what, request_body &body, steady_time deadline);
    std::optional<failure_point> readHead(const request &what, steady_time deadline,
                                          int cancelWith);
    bool sendPart(std::string_view bytes, steady_time deadline);

    upstream_pool &m_pool;
    link_meter &m_links;
    const upstream_spec &m_upstream;
    const std::string m_region;
    upstream_pool::lease m_lease;
    http_head m_response;
    std::optional<body_reader> m_reader;
    bool m_mayHaveSent = false;
    bool m_isRequestWhole = false;
    std::string m_failureText;
};

} // namespace buckthorngrade
