#pragma once

#include "base/clock.h"
#include "steering/decision_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthorngrade {

// Where an attempt failed.
enum class failure_point {
    no_capacity, // no slot, or a link or region limit; nothing was sent
    connect_failed, // refused, or timed out before the connection was made
    reused_connection_unsent, // a reused connection failed before any byte was written
    sent_no_head, // the first byte may have been sent, no response head arrived
    shed, // 503 with Not-Run: true
    other_503_or_429,
    body_truncated, // the response head arrived, the body did not end cleanly
    deadline_unsent, // deadline passed before the first byte was sent
    deadline_sent, // deadline passed later
};

enum class request_kind { idempotent, non_idempotent, keyed };

enum class retry_action {
    retry, // on another upstream
    refuse, // answer the caller with `status`
    pass_on, // give the caller the upstream's response
    close, // end the caller's connection without a clean end
};

// What the caller is told (Buckthorn-Outcome).
enum class request_outcome { not_run, ran, unknown };

// What happens to the record of a keyed request.
enum class key_action { keep, withdraw, record_response, record_unknown };

struct retry_input
{
    failure_point point = failure_point::no_capacity;
    request_kind kind = request_kind::idempotent;
    bool bodyReplayable = true; // no body byte was read from the caller, or the body is buffered
    std::chrono::milliseconds deadlineLeft{0};
    std::uint32_t retriesDone = 0;
    std::uint32_t maxRetries = 2;
    bool budgetAvailable = true;
    bool alternativeAvailable = true; // another upstream has a slot
    // An earlier attempt of this request may have run (point sent_no_head, then retried).
    bool earlierAttemptUnknown = false;
};

struct retry_decision
{
    retry_action action = retry_action::refuse;
    request_outcome outcome = request_outcome::not_run;
    int status = 503; // with refuse
    key_action key = key_action::keep;
    std::string_view rule;
};

// The table of failure points. A retry that is not possible (no budget, no retries or time left,
// body not replayable, no alternative) becomes the truthful answer for the failure point: not-run
// only if no attempt of the request can have run. If `record` is given it is filled.
retry_decision decideRetry(const retry_input &input, decision_record *record = nullptr);

std::string_view toString(failure_point point);
std::string_view toString(request_kind kind);
std::string_view toString(retry_action action);
std::string_view toString(request_outcome outcome); // "not-run", "ran", "unknown"

// Bounds a service's retries to a share of its first attempts in the last `window`. The floor lets
// a service with few requests retry at all.
class retry_budget
{
public:
    static constexpr std::chrono::seconds window{10};
    static constexpr std::uint32_t floorPerWindow = 3;

    void recordFirstAttempt(steady_time now);
    // Counts the retry and returns true if it is within `share` of the first attempts.
    bool tryRetry(double share, steady_time now);
    bool canRetry(double share, steady_time now) const;

private:
    // One-second buckets. One more than the window's length, so that the oldest is dropped whole
    // only when all of it is outside the window for retries; first attempts count the newest 10.
    static constexpr std::size_t bucketCount = 11;
    struct bucket
    {
        std::int64_t second = -1;
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };
    bucket &at(steady_time now);
    std::array<bucket, bucketCount> m_buckets{};
};

} // namespace buckthorngrade
