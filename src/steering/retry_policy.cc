#include "steering/retry_policy.h"

#include <fmt/format.h>

#include <algorithm>

namespace buckthorngrade {

namespace {

constexpr int serviceUnavailable = 503;
constexpr int badGateway = 502;
constexpr int gatewayTimeout = 504;

constexpr std::array<std::string_view, 9> failurePointNames
    = {"no-capacity",      "connect-failed", "reused-connection-unsent", "sent-no-head", "shed",
       "other-503-or-429", "body-truncated", "deadline-unsent",          "deadline-sent"};
constexpr std::array<std::string_view, 3> requestKindNames
    = {"idempotent", "non-idempotent", "keyed"};
constexpr std::array<std::string_view, 4> actionNames = {"retry", "refuse", "pass-on", "close"};
constexpr std::array<std::string_view, 3> outcomeNames = {"not-run", "ran", "unknown"};

// Returns why a retry is not possible, or an empty string if it is.
std::string_view retryObstacle(const retry_input &input)
{
    if (!input.bodyReplayable)
        return "body-not-replayable";
    if (input.retriesDone >= input.maxRetries)
        return "retries-used-up";
    if (input.deadlineLeft <= std::chrono::milliseconds(0))
        return "no-time-left";
    if (!input.alternativeAvailable)
        return "no-other-upstream";
    if (!input.budgetAvailable)
        return "retry-budget-empty";
    return {};
}

retry_decision refuse(request_outcome outcome, int status, std::string_view rule)
{
    retry_decision decision{retry_action::refuse, outcome, status, key_action::keep, rule};
    if (outcome == request_outcome::not_run)
        decision.key = key_action::withdraw;
    if (outcome == request_outcome::unknown)
        decision.key = key_action::record_unknown;
    return decision;
}

retry_decision passOn(std::string_view rule)
{
    return {retry_action::pass_on, request_outcome::ran, 0, key_action::record_response, rule};
}

// Returns the answer if there is no retry. Does not take earlier attempts into account.
retry_decision finalAnswer(failure_point point, bool idempotent)
{
    switch (point) {
    case failure_point::no_capacity:
        return refuse(request_outcome::not_run, serviceUnavailable, "no-capacity");
    case failure_point::connect_failed:
        return refuse(request_outcome::not_run, badGateway, "connect-failed");
    case failure_point::reused_connection_unsent:
        return refuse(request_outcome::not_run, badGateway, "reused-connection-unsent");
    case failure_point::sent_no_head:
        return refuse(request_outcome::unknown, badGateway,
                      idempotent ? "sent-no-head" : "sent-no-head-not-repeatable");
    case failure_point::shed:
        return refuse(request_outcome::not_run, serviceUnavailable, "shed");
    case failure_point::other_503_or_429:
        return passOn("other-503-or-429");
    case failure_point::body_truncated:
        return {retry_action::close, request_outcome::unknown, 0, key_action::record_unknown,
                "body-truncated"};
    case failure_point::deadline_unsent:
        return refuse(request_outcome::not_run, gatewayTimeout, "deadline-unsent");
    case failure_point::deadline_sent:
        break;
    }
    return refuse(request_outcome::unknown, gatewayTimeout, "deadline-sent");
}

bool isRetryable(failure_point point, bool idempotent)
{
    switch (point) {
    case failure_point::connect_failed:
    case failure_point::reused_connection_unsent:
    case failure_point::shed:
        return true;
    case failure_point::sent_no_head:
    case failure_point::other_503_or_429:
        return idempotent;
    default:
        return false;
    }
}

std::int64_t secondOf(steady_time time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

std::string_view toString(failure_point point)
{
    return failurePointNames[static_cast<std::size_t>(point)];
}

std::string_view toString(request_kind kind)
{
    return requestKindNames[static_cast<std::size_t>(kind)];
}

std::string_view toString(retry_action action)
{
    return actionNames[static_cast<std::size_t>(action)];
}

std::string_view toString(request_outcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

retry_decision decideRetry(const retry_input &input, decision_record *record)
{
    const bool idempotent = input.kind == request_kind::idempotent;
    retry_decision decision = finalAnswer(input.point, idempotent);
    std::string_view obstacle;
    if (isRetryable(input.point, idempotent)) {
        obstacle = retryObstacle(input);
        if (obstacle.empty())
            decision = {retry_action::retry, request_outcome::not_run, 0, key_action::keep,
                        "retry-elsewhere"};
    }
    // The answer must not say not-run if an earlier attempt may have run.
    if (decision.action == retry_action::refuse && decision.outcome == request_outcome::not_run
        && input.earlierAttemptUnknown)
        decision = refuse(request_outcome::unknown, decision.status, "earlier-attempt-unknown");
    if (input.kind != request_kind::keyed)
        decision.key = key_action::keep;
    if (record != nullptr) {
        const bool retried = decision.action == retry_action::retry;
        record->kind = retried ? decision_kind::retry : decision_kind::refusal;
        record->setRule(decision.rule);
        record->setOutcome(retried ? toString(decision.action) : toString(decision.outcome));
        record->addInput("failure_point", toString(input.point));
        record->addInput("request_kind", toString(input.kind));
        record->addInput("retries_done", fmt::to_string(input.retriesDone));
        record->addInput("deadline_left_ms", fmt::to_string(input.deadlineLeft.count()));
        if (!obstacle.empty())
            record->addRuledOut("retry", obstacle);
    }
    return decision;
}

retry_budget::bucket &retry_budget::bucketAt(steady_time now)
{
    const std::int64_t second = secondOf(now);
    bucket &found = m_buckets[static_cast<std::size_t>(second) % bucketCount];
    if (found.second != second)
        found = {second, 0, 0};
    return found;
}

void retry_budget::recordFirstAttempt(steady_time now)
{
    ++bucketAt(now).firstAttempts;
}

bool retry_budget::canRetry(double share, steady_time now) const
{
    const std::int64_t second = secondOf(now);
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    for (const bucket &item : m_buckets) {
        const std::int64_t age = second - item.second;
        if (item.second < 0 || age < 0 || age > window.count())
            continue;
        retries += item.retries;
        if (age < window.count())
            firstAttempts += item.firstAttempts;
    }
    const double allowed = std::max(share * static_cast<double>(firstAttempts),
                                    share > 0 ? static_cast<double>(minRetriesPerWindow) : 0.0);
    return static_cast<double>(retries + 1) <= allowed;
}

bool retry_budget::tryRetry(double share, steady_time now)
{
    if (!canRetry(share, now))
        return false;
    ++bucketAt(now).retries;
    return true;
}

} // namespace buckthorngrade
