#pragma once

#include "base/clock.h"
#include "steering/decision_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthorngrade {

// Point at which an attempt failed.
enum class failure_point {
    no_capacity, // No slot was free, or a link or region limit was reached. Nothing was sent.
    connect_failed, // The connection was refused or timed out.
    reused_connection_unsent, // A reused connection failed before any byte was written.
    sent_no_head, // The first byte may have been sent, but no response head arrived.
    shed, // The upstream answered 503 with Not-Run: true.
    other_503_or_429, // The upstream answered 429, or 503 without Not-Run: true.
    body_truncated, // The response head arrived, but the body was incomplete.
    deadline_unsent, // The deadline passed before the first byte was sent.
    deadline_sent, // The deadline passed after the first byte was sent.
};

enum class request_kind { idempotent, non_idempotent, keyed };

enum class retry_action {
    retry, // Send the request to another upstream.
    refuse, // Answer the caller with `status`.
    pass_on, // Forward the upstream's response to the caller.
    close, // Close the caller's connection without completing the response.
};

// What the caller is told about the execution of its request, in Buckthorn-Outcome.
enum class request_outcome { not_run, ran, unknown };

// What to do with the record of a keyed request.
enum class key_action { keep, withdraw, record_response, record_unknown };

struct retry_input
{
    failure_point point = failure_point::no_capacity;
    request_kind kind = request_kind::idempotent;
    bool bodyReplayable = true; // No body byte was read from the caller, or the body is buffered.
    std::chrono::milliseconds deadlineLeft{0};
    std::uint32_t retriesDone = 0;
    std::uint32_t maxRetries = 2;
    bool budgetAvailable = true;
    bool alternativeAvailable = true; // Another upstream has a free slot.
    // An earlier attempt of this request may have run, for example one that failed at sent_no_head
    // and was retried.
    bool earlierAttemptUnknown = false;
};

struct retry_decision
{
    retry_action action = retry_action::refuse;
    request_outcome outcome = request_outcome::not_run;
    int status = 503; // HTTP status if the action is refuse.
    key_action key = key_action::keep;
    std::string_view rule;
};

// Decides what follows a failed attempt, by its failure point and the kind of the request. If a
// retry is not possible (no budget, no retries or time left, body not replayable, no other
// upstream), the decision is the final answer for the failure point. The outcome is not_run only if
// no attempt of the request can have run. Fills `record` if it is not null.
retry_decision decideRetry(const retry_input &input, decision_record *record = nullptr);

std::string_view toString(failure_point point);
std::string_view toString(request_kind kind);
std::string_view toString(retry_action action);
std::string_view toString(request_outcome outcome); // "not-run", "ran", "unknown"

// Limits a service's retries to a share of its first attempts in the last `window`. The minimum
// minRetriesPerWindow allows a service with few requests to retry at all, unless the share is 0.
class retry_budget
{
public:
    static constexpr std::chrono::seconds window{10};
    static constexpr std::uint32_t minRetriesPerWindow = 3;

    void recordFirstAttempt(steady_time now);
    // Counts the retry and returns true if the retries, including this one, stay within `share` of
    // the first attempts.
    bool tryRetry(double share, steady_time now);
    bool canRetry(double share, steady_time now) const;

private:
    // One-second buckets, one more than the window is long. Retries are counted over all 11
    // buckets, so that a bucket is dropped only when all of it is outside the window. First
    // attempts are counted over the newest 10.
    static constexpr std::size_t bucketCount = 11;
    struct bucket
    {
        std::int64_t second = -1;
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };
    bucket &bucketAt(steady_time now);
    std::array<bucket, bucketCount> m_buckets{};
};

} // namespace buckthorngrade
