#pragma once

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/leader_hint.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace buckthorngrade {

// Registers requests that carry an idempotency key with the control group, so that the
// request of each key is executed at most once.
//
// A request may be sent to an upstream only after begin() has returned `proceed`. If the reply to
// BeginRequest is lost, the call is repeated with the same attempt id, and the control group
// returns the same reply as for the first call. A background thread delivers the outcomes, so that
// an outcome is recorded even if the caller has disconnected.
class claim_client
{
public:
    static constexpr std::size_t maxRecordedBody = 8UL * 1024;
    static constexpr std::size_t maxKeyBytes = 256;

    struct claim
    {
        std::string service;
        std::string key;
        std::string digest;
        std::uint64_t attempt = 0;
    };
    enum class status {
        proceed,
        in_progress, // another request with this key is being executed
        recorded, // the request was executed; `response` is its outcome
        unknown, // the request may have been executed
        different_content, // the key was used for a request with another digest
        full, // the control group has no room for another record
        expired, // the key is older than the retention period
        superseded, // a later process of this instance is known, or the attempt was withdrawn
        invalid,
        unreachable, // the attempt was certainly not recorded
        lost, // the attempt may have been recorded; it is withdrawn in the background
    };
    struct begin_result
    {
        status outcome = status::unreachable;
        wire::recorded_response response;
    };

    // All references must outlive this.
    claim_client(const settings &config, std::uint64_t incarnation,
                 const control_channels &channels, leader_hint &leader, const clock_source &clock,
                 event_log &events, metric_registry &metrics, const json_tracer &tracer);
    // Tries for a short time to deliver the remaining outcomes.
    ~claim_client();
    claim_client(const claim_client &) = delete;
    claim_client &operator=(const claim_client &) = delete;

    // Digest that identifies the content of a request: method, path, content type, declared length
    // and the first 64 KB of the body.
    static std::string digestOf(const std::string &method, const std::string &path,
                                const std::string &contentType, const std::string &length,
                                std::string_view firstPart);
    static std::uint64_t newAttempt();

    // `deadline` is the deadline of the request; the call returns no later than that.
    begin_result begin(const claim &keyClaim, steady_time deadline,
                       const opentracing::Span &parent);
    // Each queues one outcome for delivery. If the queue is full, the outcome is dropped and the
    // record becomes unknown when the request's deadline has passed.
    void finishRan(const claim &keyClaim, wire::recorded_response response);
    void finishUnknown(const claim &keyClaim);
    void finishWithdrawn(const claim &keyClaim);
    // Number of outcomes that are not delivered yet.
    std::size_t pending() const { return m_pendingOutcomes.size() + (m_isDelivering ? 1 : 0); }

private:
    enum class call_result { done, not_reached, lost };
    call_result callBegin(const wire::begin_request &request, wire::begin_reply &reply,
                          steady_time deadline);
    const control_channels::member *chooseMember(std::size_t attempt) const;
    void queueOutcome(const claim &keyClaim, wire::finish_request::outcome_kind outcome,
                      wire::recorded_response response);
    void deliverOutcomes();
    bool deliver(const wire::finish_request &request, std::size_t attempt);

    const settings &m_settings;
    const std::uint64_t m_incarnation;
    const control_channels &m_channels;
    leader_hint &m_leader;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
    bounded_ring<wire::finish_request> m_pendingOutcomes;
    std::atomic<bool> m_isDelivering = false;
    std::thread m_thread;
};

std::string_view toString(claim_client::status status);

} // namespace buckthorngrade
