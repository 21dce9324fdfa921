#pragma once

#include "carrier/carrier.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthorngrade {

// One request of a caller on its way: picks an upstream, sends the request, and decides after each
// failure whether it may be sent again.
//
// What may be sent again follows from the route's kind and from how far the request got. A request
// that certainly did not run may always go to another upstream. One that may have run goes there
// only if it is idempotent. A refusal that promises "not run" (503) is given only while that is
// certain; otherwise the answer is 502 or 504, which promise nothing.
class carried_request : public std::enable_shared_from_this<carried_request>
{
public:
    carried_request(carrier &owner, exchange_pointer exchange);
    ~carried_request();

    void start();
    // Gives the request up without an answer, at the end of the process.
    void abandon();

private:
    void attempt();
    void send();
    void handleResponse(const client_response &response);
    void handleFailure(call_failure failure);
    void handleConnectTimeout();
    void handleTimeout();
    void handleCallerGone();
    bool isNotRun(const client_response &response) const;
    // Whether another attempt may be made; takes it from the budget unless nothing arrived at an
    // upstream.
    bool mayRepeat(bool arrived);
    void repeatOrAnswer(int status, const char *reason, bool arrived);
    void deliver(const client_response &response);
    // Answers without an upstream's response.
    void answerOwn(int status, const char *reason);
    void finish();
    void releaseUpstream();
    std::chrono::milliseconds connectLimit() const;
    std::string encode(std::chrono::milliseconds left) const;
    // Bytes of the body from `from` on as they are sent to the upstream.
    std::string encodeBody(std::size_t from) const;
    // Sends what has arrived of the body since the last call.
    void forwardBody();
    std::chrono::milliseconds timeLeft() const;
    void logAttempt(std::string_view outcome);
    // The first byte of an attempt at a cold upstream was sent.
    void recordColdSent();

    carrier &m_owner;
    exchange_pointer m_exchange;
    std::string m_id;
    const route *m_route = nullptr;
    std::shared_ptr<const route_table> m_routes; // keeps m_route valid
    std::string m_service;
    std::optional<std::string> m_object; // what the caller names as the request's object
    std::optional<std::uint64_t> m_affinity; // hash of the route and the object
    steady_time m_deadline; // of the caller
    steady_time m_limit; // when the final answer is due
    upstream_pointer m_upstream;
    carrier::choice m_choice; // the last one
    std::unique_ptr<http_client> m_client;
    bool m_isReused = false; // the connection carried an earlier request
    steady_time m_sentAt;
    std::size_t m_bodySent = 0; // bytes of the body handed to m_client
    bool m_isChunked = false; // the body goes to m_client in chunks
    std::set<std::string> m_tried;
    std::uint32_t m_attempts = 0; // requests sent to upstreams
    std::uint32_t m_unreached = 0; // attempts that reached no upstream
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    event_loop::timer_id m_timeoutTimer = 0;
    event_loop::timer_id m_connectTimer = 0;
};

} // namespace buckthorngrade
