#pragma once

#include "carrier/reverse_proxy.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthorngrade {

// A caller's request that is being forwarded: selects an upstream, sends the request, and decides
// after each failure whether to retry it.
//
// Whether a retry is allowed depends on the route's kind and on how far the attempt got. A request
// that certainly did not run may always be retried on another upstream. A request that may have run
// is retried only if it is idempotent. The caller gets 503, which guarantees that the request did
// not run, only if that is certain; otherwise it gets 502 or 504, which guarantee nothing.
class proxied_request : public std::enable_shared_from_this<proxied_request>
{
public:
    proxied_request(reverse_proxy &proxy, exchange_pointer exchange);
    ~proxied_request();

    void start();
    // Drops the request without a response. Used when the process ends.
    void abandon();
    // Takes the request back from its upstream, which may not get it any more, and tries another
    // one, unless a part of it was sent already.
    void withdrawUnsent(const upstream_pointer &upstream);
    // Reserves the request within a limit that its upstream has named since it was chosen, or
    // withdraws the request, unless a part of it was sent already.
    void applyLimit(const upstream_pointer &upstream);

private:
    void startAttempt();
    void send();
    void handleHead(const http_head &head);
    void handleResponse(const client_response &response);
    void handleFailure(call_failure failure);
    void handleConnectTimeout();
    void handleTimeout();
    void handleCallerGone();
    bool isNotRun(const client_response &response) const;
    // What the last attempt reached.
    enum class attempt_reach {
        nothing, // no connection, or nothing of the request was sent
        other_process, // the address belongs to another upstream by now, which did not run it
        upstream
    };
    // Returns whether another attempt may be made. Takes the retry from the retry budget if the
    // last attempt reached a process. Only attempts that reached an upstream of the service count
    // towards the route's maximum.
    bool mayRetry(attempt_reach reached);
    void retryOrRespond(int status, const char *reason, attempt_reach reached);
    void forwardResponse(const client_response &response);
    // Sends a response of the entry instance itself.
    void respondLocally(int status, const char *reason);
    std::string retryAfter() const;
    void finish();
    void releaseUpstream();
    std::string encode(std::chrono::milliseconds left) const;
    // Returns the received body from offset `from`, encoded as it is sent to the upstream.
    std::string encodeBody(std::size_t from) const;
    // Sends the part of the body that was received since the last call.
    void forwardBody();
    std::chrono::milliseconds timeLeft() const;
    bool isWaitingFor(const upstream_pointer &upstream) const;
    void logFailedAttempt(std::string_view outcome);
    // Called when the first byte of a request was sent.
    void handleSent();
    void recordColdRequestSent(steady_time now);
    void recordLimitedRequestSent(steady_time now);

    reverse_proxy &m_proxy;
    exchange_pointer m_exchange;
    std::string m_id;
    const route *m_route = nullptr;
    std::shared_ptr<const route_table> m_routes; // keeps m_route valid
    std::string m_service;
    std::optional<std::string> m_affinityObject; // the value of the affinity cookie
    std::optional<std::uint64_t> m_affinityHash; // hash of the route and the object
    steady_time m_callerDeadline; // set by the caller
    steady_time m_responseDeadline; // the latest time at which the response is sent to the caller
    upstream_pointer m_upstream;
    reverse_proxy::choice m_choice; // of the latest attempt
    std::unique_ptr<http_client> m_client;
    bool m_isReused = false; // the connection was used for an earlier request
    steady_time m_sentAt;
    std::size_t m_bodySent = 0; // bytes of the body handed to m_client
    bool m_isChunked = false; // the body is sent to the upstream with chunked transfer encoding
    std::set<std::string> m_tried;
    std::uint32_t m_attempts = 0; // requests sent to upstreams
    std::uint32_t m_unreachedAttempts = 0; // attempts that reached no upstream of the service
    bool m_wantsQuiet = false; // the response asks for a quiet period
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    event_loop::timer_id m_timeoutTimer = 0;
    event_loop::timer_id m_connectTimer = 0;
};

} // namespace buckthorngrade
