#include "entry/request_forwarder.h"

#include "base/utf8.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthorngrade {

namespace {

constexpr std::size_t copyBufferBytes = 64UL * 1024;
constexpr std::string_view deadlineHeader = "Buckthorn-Deadline-Ms";
constexpr std::string_view keyHeader = "Idempotency-Key";
constexpr std::chrono::milliseconds maxCallerDeadline{24 * 3600 * 1000};
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

// Hop-by-hop fields and fields that this instance sets itself; they are not forwarded.
constexpr std::array<std::string_view, 13> droppedFields = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "Proxy-Connection",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length",
                                                            "Expect",
                                                            "Host",
                                                            deadlineHeader};

http_fields endToEndFields(const http_head &head)
{
    const std::string connection = head.get("Connection");
    const auto isNamedByConnection = [&](std::string_view name) {
        std::string_view rest = connection;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            std::string_view option = rest.substr(0, comma);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
            while (option.starts_with(' '))
                option.remove_prefix(1);
            while (option.ends_with(' '))
                option.remove_suffix(1);
            if (equalsIgnoreCase(option, name))
                return true;
        }
        return false;
    };
    http_fields result;
    std::ranges::copy_if(head.fields, std::back_inserter(result), [&](const auto &field) {
        return std::ranges::none_of(
                   droppedFields,
                   [&](std::string_view name) { return equalsIgnoreCase(field.first, name); })
            && !isNamedByConnection(field.first);
    });
    return result;
}

bool isIdempotent(const std::string &method)
{
    constexpr std::array<std::string_view, 6> methods
        = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
    return std::ranges::find(methods, method) != methods.end();
}

std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0
        || value > maxCallerDeadline.count())
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

} // namespace

// State of one request while it is being forwarded.
struct request_forwarder::request_context
{
    request_context(service_balancer &balancerToUse, http_exchange &callerExchange,
                    const opentracing::Span &parentSpan, const std::string &upstreamPath)
        : balancer(balancerToUse)
        , service(balancerToUse.spec())
        , exchange(callerExchange)
        , span(parentSpan)
        , path(upstreamPath)
        , body(callerExchange)
    { }

    service_balancer &balancer;
    const service_spec &service;
    http_exchange &exchange;
    const opentracing::Span &span;
    const std::string &path;
    std::string decisionId;
    std::shared_ptr<const config_snapshot> config;
    steady_time started;
    steady_time deadline;
    request_body body;
    request_kind kind = request_kind::idempotent;
    std::optional<claim_client::claim> claim;
    bool isClaimOpen = false; // the request is recorded, its outcome not yet
    bool isForeign = false;
    std::vector<bool> tried;
    std::uint32_t retries = 0;
    bool mayHaveRun = false; // an upstream may have executed an earlier attempt
    std::string outcome = "unknown";
    std::string rule;
    std::string upstream;
    int status = 0;

    ~request_context()
    {
        if (isForeign)
            balancer.finishForeign();
    }
    request_context(const request_context &) = delete;
    request_context &operator=(const request_context &) = delete;

    const profile &rules() const { return balancer.activeProfile(*config); }
};

request_forwarder::request_forwarder(
    const settings &config, const config_source &source,
    const std::vector<std::unique_ptr<service_balancer>> &balancers, claim_client &claims,
    decision_log &decisions, link_rate_limiter &linkLimiter, upstream_pool &pool,
    const client_locator &locator, const clock_source &clock, event_log &events,
    metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_config(source)
    , m_balancers(balancers)
    , m_claims(claims)
    , m_decisions(decisions)
    , m_linkLimiter(linkLimiter)
    , m_pool(pool)
    , m_locator(locator)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void request_forwarder::forward(std::size_t service, const std::string &path,
                                http_exchange &exchange, const opentracing::Span &parent)
{
    request_context context(*m_balancers[service], exchange, parent, path);
    context.decisionId = m_decisions.nextId();
    context.config = m_config.current();
    context.started = m_clock.now();
    context.tried.assign(context.service.upstreams.size(), false);
    try {
        process(context);
    } catch (const caller_error &failure) {
        // Outside of an attempt nothing was sent; an attempt that fails with a caller error sets
        // mayHaveRun if something may have been.
        if (context.isClaimOpen)
            recordKeyOutcome(context,
                             context.mayHaveRun ? key_action::record_unknown : key_action::withdraw,
                             {}, false, nullptr);
        answerCallerError(context, failure);
    } catch (const socket_error &) { // the caller disconnected before the refusal was sent
        exchange.abort();
    }
    if (context.isClaimOpen)
        recordKeyOutcome(context, key_action::record_unknown, {}, false, nullptr);
    recordCompletion(context);
}

void request_forwarder::answerCallerError(request_context &context, const caller_error &failure)
{
    context.outcome = context.mayHaveRun ? "unknown" : "not-run";
    context.rule = "caller-failed";
    if (failure.status() == 0 || context.exchange.isHeadSent())
        return context.exchange.abort();
    context.exchange.setClosing();
    try {
        refuse(context, failure.status(), context.outcome, "caller-failed", failure.what());
    } catch (const socket_error &) { // the caller has disconnected in the meantime
        context.exchange.abort();
    }
}

void request_forwarder::process(request_context &context)
{
    const http_head &head = context.exchange.head();
    context.deadline = context.started + context.service.requestDeadline;
    if (const std::string *given = head.find(deadlineHeader)) {
        const auto limit = parseMilliseconds(*given);
        if (!limit)
            return refuse(context, badRequest, "not-run", "malformed-deadline",
                          "malformed Buckthorn-Deadline-Ms");
        context.deadline = std::min(context.deadline, context.started + *limit);
    }
    if (!isIdempotent(head.method))
        context.kind = head.find(keyHeader) ? request_kind::keyed : request_kind::non_idempotent;
    if (context.kind == request_kind::keyed) {
        const std::string key = head.get(keyHeader);
        const auto repeated = std::ranges::count_if(head.fields, [](const auto &field) {
            return equalsIgnoreCase(field.first, keyHeader);
        });
        if (key.empty() || key.size() > claim_client::maxKeyBytes || !isVisibleAscii(key)
            || repeated > 1)
            return refuse(context, badRequest, "not-run", "malformed-key",
                          "malformed Idempotency-Key");
    }
    // The first part is read before a slot is acquired, so that a slow caller does not hold one.
    context.body.readFirstPart(context.deadline);
    if (!admitForeign(context))
        return;
    if (context.kind == request_kind::keyed && !beginClaim(context))
        return;
    context.balancer.recordFirstAttempt();
    runAttempts(context);
}

bool request_forwarder::admitForeign(request_context &context)
{
    const auto location = m_locator.locate(context.exchange.clientAddress());
    const bool isForeign
        = location && !location->region.empty() && location->region != m_settings.region();
    if (!isForeign)
        return true;
    if (!context.balancer.tryAdmitForeign()) {
        refuse(context, serviceUnavailable, "not-run", "foreign-limit",
               "this region takes no more requests of callers in other regions for now");
        return false;
    }
    context.isForeign = true;
    return true;
}

bool request_forwarder::beginClaim(request_context &context)
{
    const http_head &head = context.exchange.head();
    const std::string length
        = head.framing == body_framing::chunked ? "chunked" : fmt::to_string(head.contentLength);
    context.claim = claim_client::claim{context.service.name, head.get(keyHeader),
                                        claim_client::digestOf(head.method, context.path,
                                                               head.get("Content-Type"), length,
                                                               context.body.firstPart()),
                                        claim_client::newAttempt()};
    const auto result = m_claims.begin(*context.claim, context.deadline, context.span);
    switch (result.outcome) {
    case claim_client::status::proceed:
        context.isClaimOpen = true;
        return true;
    case claim_client::status::recorded:
        replyRecorded(context, result.response);
        return false;
    case claim_client::status::in_progress:
        refuse(context, conflict, "in-progress", "key-in-progress",
               "the request with this key is being run");
        return false;
    case claim_client::status::unknown:
        refuse(context, badGateway, "unknown", "key-unknown",
               "the request with this key may have run");
        return false;
    case claim_client::status::different_content:
        refuse(context, unprocessable, "not-run", "key-different-content",
               "the key was used for a request with other content");
        return false;
    case claim_client::status::expired:
        refuse(context, conflict, "unknown", "key-expired",
               "the key is older than the records that are kept; it may have run");
        return false;
    case claim_client::status::invalid:
        refuse(context, badRequest, "not-run", "key-invalid", "the key was rejected");
        return false;
    case claim_client::status::full:
        refuse(context, serviceUnavailable, "not-run", "key-records-full",
               "no room for another keyed request");
        return false;
    case claim_client::status::superseded:
        refuse(context, serviceUnavailable, "not-run", "key-superseded",
               "this instance can't record keyed requests");
        return false;
    case claim_client::status::unreachable:
        refuse(context, serviceUnavailable, "not-run", "control-unreachable",
               "keyed requests can't be recorded now");
        return false;
    case claim_client::status::lost:
        // This attempt is not executed, but an earlier request with this key may have been.
        refuse(context, serviceUnavailable, "unknown", "key-record-lost",
               "it is unknown whether a request with this key has run; send it again");
        return false;
    }
    return false;
}

void request_forwarder::runAttempts(request_context &context)
{
    while (true) {
        decision_record record;
        record.id = context.decisionId;
        record.time = m_clock.wallNow();
        record.revision = context.config->revision;
        record.profileVersion = context.rules().version;
        const bool isRecorded = m_decisions.admitOrdinary();
        const auto admission = m_tracer.startChild("entry.admission", context.span);
        const auto chosen = context.balancer.acquire(context.tried, context.deadline,
                                                     isRecorded ? &record : nullptr);
        admission->SetTag("rule", std::string(chosen.rule));
        admission->Finish();
        if (!chosen.upstream) {
            record.addInput("service", context.service.name);
            record.addRuledOut("selection", chosen.rule);
            record.kind = decision_kind::refusal;
            record.setRule(chosen.rule);
            m_decisions.add(record);
            const auto point = chosen.isDeadlinePassed ? failure_point::deadline_unsent
                                                       : failure_point::no_capacity;
            const retry_decision decision = decide(context, point);
            recordKeyOutcome(context, decision.key, {}, false, nullptr);
            return refuse(context, decision.status, std::string(toString(decision.outcome)),
                          chosen.rule, "no upstream has a free slot");
        }
        if (isRecorded)
            m_decisions.add(record);
        else
            m_decisions.count(decision_kind::selection, chosen.rule);
        context.rule = chosen.rule;
        if (tryUpstream(context, *chosen.upstream))
            return;
        ++context.retries;
        m_metrics
            .counter("buckthorngrade_retries_total",
                     fmt::format("service=\"{}\"", context.service.name))
            .add();
    }
}

bool request_forwarder::tryUpstream(request_context &context, std::size_t index)
{
    // Releases the slot only after the attempt has ended.
    struct slot_guard
    {
        service_balancer &balancer;
        std::size_t upstream;
        ~slot_guard() { balancer.release(upstream); }
    };
    const slot_guard guard{context.balancer, index};
    const upstream_spec &upstream = context.service.upstreams[index];
    context.tried[index] = true;
    context.upstream = upstream.name;
    const auto span = m_tracer.startChild("entry.try", context.span);
    span->SetTag("upstream", upstream.name);

    const std::string region = context.balancer.regionOf(index);
    upstream_attempt attempt(m_pool, m_linkLimiter, upstream,
                             region == m_settings.region() ? std::string() : region);
    const http_head &head = context.exchange.head();
    upstream_attempt::request request;
    request.method = head.method;
    request.target = context.path;
    request.fields = endToEndFields(head);
    std::erase_if(request.fields,
                  [](const auto &field) { return equalsIgnoreCase(field.first, "traceparent"); });
    request.fields.emplace_back("traceparent", traceparentOf(*span));
    request.hasBody = head.framing != body_framing::none;
    if (head.framing == body_framing::length)
        request.length = head.contentLength;
    else if (context.body.isFullyBuffered())
        request.length = context.body.firstPart().size();

    const bool canCancel = context.kind == request_kind::idempotent;
    const steady_time started = m_clock.now();
    try {
        const auto failure = attempt.run(request, context.body, context.deadline,
                                         canCancel ? context.exchange.descriptor() : -1);
        if (failure) {
            span->SetTag("failure", std::string(toString(*failure)));
            return handleFailure(context, index, attempt, *failure);
        }
        span->SetTag("status", attempt.response().status);
        const int status = attempt.response().status;
        const std::string *notRun = attempt.response().find("Not-Run");
        const bool isShed
            = status == serviceUnavailable && notRun && equalsIgnoreCase(*notRun, "true");
        if (isShed)
            return handleFailure(context, index, attempt, failure_point::shed);
        if (status == serviceUnavailable || status == tooManyRequests) {
            context.balancer.recordShed(index);
            const retry_decision decision = decide(context, failure_point::other_503_or_429);
            if (decision.action == retry_action::retry) {
                // The upstream responded, so the request may have had an effect there.
                context.mayHaveRun = true;
                attempt.cancel(std::chrono::milliseconds(0));
                return false;
            }
        }
        handleResponse(context, index, attempt, started);
        return true;
    } catch (const caller_disconnected &) {
        span->SetTag("failure", "caller-left");
        context.exchange.abort();
        context.outcome = "unknown";
        context.rule = "cancelled";
        // The slot stays in use until the upstream has closed the connection, or must have stopped
        // because the deadline has passed.
        attempt.cancel(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::max<steady_time::duration>(
                context.deadline - m_clock.now(), std::chrono::milliseconds(0))));
        return true;
    } catch (const caller_error &) {
        context.mayHaveRun = context.mayHaveRun || attempt.mayHaveSent();
        attempt.cancel(std::chrono::milliseconds(200));
        throw;
    }
}

retry_decision request_forwarder::decide(request_context &context, failure_point point)
{
    decision_record record;
    record.id = context.decisionId;
    record.time = m_clock.wallNow();
    record.revision = context.config->revision;
    record.profileVersion = context.rules().version;
    retry_input input;
    input.point = point;
    input.kind = context.kind;
    input.bodyReplayable = context.body.isReplayable();
    input.deadlineLeft
        = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - m_clock.now());
    input.retriesDone = context.retries;
    input.maxRetries = context.rules().maxRetries;
    input.budgetAvailable = context.balancer.canRetry(context.rules().retryBudget);
    input.alternativeAvailable = context.balancer.hasAlternative(context.tried);
    input.earlierAttemptUnknown = context.mayHaveRun;
    retry_decision decision = decideRetry(input, &record);
    if (decision.action == retry_action::retry
        && !context.balancer.tryRetry(context.rules().retryBudget)) {
        // A concurrent request has used up the budget.
        input.budgetAvailable = false;
        decision = decideRetry(input, &record);
    }
    if (!context.upstream.empty())
        record.addInput("upstream", context.upstream);
    m_decisions.add(record);
    return decision;
}

bool request_forwarder::handleFailure(request_context &context, std::size_t upstream,
                                      upstream_attempt &attempt, failure_point point)
{
    if (point == failure_point::shed) {
        context.balancer.recordShed(upstream);
    } else if (point != failure_point::deadline_unsent
               && context.balancer.recordFailure(upstream, point)) {
        m_events.write(event_id::upstream_ejected,
                       {{"service", context.service.name}, {"upstream", context.upstream}});
        decision_record record;
        record.id = m_decisions.nextId();
        record.time = m_clock.wallNow();
        record.kind = decision_kind::ejection;
        record.revision = context.config->revision;
        record.setRule("consecutive-failures");
        record.setOutcome(context.upstream);
        record.addInput("failure_point", toString(point));
        m_decisions.add(record);
    }
    const retry_decision decision = decide(context, point);
    if (decision.action == retry_action::retry) {
        context.mayHaveRun = context.mayHaveRun || point == failure_point::sent_no_head;
        attempt.cancel(std::chrono::milliseconds(0));
        return false;
    }
    recordKeyOutcome(context, decision.key, {}, false, nullptr);
    const std::string outcome(toString(decision.outcome));
    if (decision.outcome == request_outcome::unknown)
        m_events.write(event_id::request_outcome_unknown,
                       {{"decision", context.decisionId},
                        {"service", context.service.name},
                        {"upstream", context.upstream},
                        {"reason", attempt.failureText()}});
    try {
        refuse(context, decision.status, outcome, decision.rule,
               fmt::format("the upstream failed: {}", toString(point)));
    } catch (const socket_error &) { // the caller has disconnected as well
        context.exchange.abort();
    }
    // The upstream stops at the deadline that was sent to it, which passes one transit time after
    // the local one.
    attempt.cancel(point == failure_point::deadline_sent ? std::chrono::milliseconds(1'000)
                                                         : std::chrono::milliseconds(0));
    return true;
}

void request_forwarder::handleResponse(request_context &context, std::size_t upstream,
                                       upstream_attempt &attempt, steady_time started)
{
    constexpr int firstServerError = 500;
    const int status = attempt.response().status;
    if (status < firstServerError)
        context.balancer.recordSuccess(
            upstream,
            std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - started));
    context.status = status;
    relayResponse(context, upstream, attempt);
}

void request_forwarder::relayResponse(request_context &context, std::size_t upstream,
                                      upstream_attempt &attempt)
{
    const http_head &response = attempt.response();
    http_fields fields = endToEndFields(response);
    std::erase_if(fields, [](const auto &field) {
        return equalsIgnoreCase(field.first, "Buckthorn-Outcome")
            || equalsIgnoreCase(field.first, "Buckthorn-Decision");
    });
    fields.emplace_back("Buckthorn-Decision", context.decisionId);
    fields.emplace_back("Buckthorn-Outcome", "ran");
    // The response to a HEAD request states the length of the body that is not sent.
    std::optional<std::uint64_t> length;
    if (response.framing == body_framing::length
        || (response.framing == body_framing::none && response.find("Content-Length")))
        length = response.contentLength;
    const bool canCancel = context.kind == request_kind::idempotent;
    bool isCallerConnected = true;
    const auto sendToCaller = [&](const auto &send) {
        if (!isCallerConnected)
            return;
        try {
            send();
        } catch (const socket_error &) {
            isCallerConnected = false;
        }
    };
    sendToCaller([&] {
        context.exchange.sendHead(response.status,
                                  response.reason.empty() ? reasonPhrase(response.status)
                                                          : response.reason,
                                  fields, length);
    });
    std::string recordedBody;
    std::uint64_t total = 0;
    bool isTruncated = false;
    std::vector<char> buffer(copyBufferBytes);
    try {
        while (isCallerConnected || !canCancel) {
            const std::size_t count
                = attempt.readBody(buffer.data(), buffer.size(), context.deadline);
            if (count == 0)
                break;
            total += count;
            const std::string_view part(buffer.data(), count);
            if (context.isClaimOpen)
                recordedBody.append(
                    part.substr(0, claim_client::maxRecordedBody - recordedBody.size()));
            sendToCaller([&] { context.exchange.sendBody(part); });
        }
    } catch (const error &failure) {
        isTruncated = true;
        m_events.write(event_id::request_truncated,
                       {{"decision", context.decisionId},
                        {"service", context.service.name},
                        {"upstream", context.upstream},
                        {"reason", failure.what()}});
    }
    if (isTruncated) {
        context.balancer.recordFailure(upstream, failure_point::body_truncated);
        recordKeyOutcome(context, decide(context, failure_point::body_truncated).key, {}, false,
                         nullptr);
        context.exchange.abort();
        context.outcome = "unknown";
        context.rule = "body-truncated";
        return attempt.cancel(std::chrono::milliseconds(200));
    }
    context.outcome = "ran";
    recordKeyOutcome(context, key_action::record_response, recordedBody,
                     recordedBody.size() == total, &response);
    if (!isCallerConnected) {
        context.exchange.abort();
        return canCancel ? attempt.cancel(std::chrono::milliseconds(1'000)) : attempt.finish();
    }
    attempt.finish();
    sendToCaller([&] { context.exchange.finish(); });
    if (!isCallerConnected)
        context.exchange.abort();
}

void request_forwarder::recordKeyOutcome(request_context &context, key_action action,
                                         const std::string &body, bool isBodyComplete,
                                         const http_head *response)
{
    if (!context.isClaimOpen || action == key_action::keep)
        return;
    context.isClaimOpen = false;
    if (action == key_action::withdraw)
        return m_claims.finishWithdrawn(*context.claim);
    if (action == key_action::record_unknown || !response)
        return m_claims.finishUnknown(*context.claim);
    wire::recorded_response recorded;
    recorded.set_status(static_cast<std::uint32_t>(response->status));
    recorded.set_content_type(response->get("Content-Type"));
    recorded.set_body(body);
    recorded.set_body_complete(isBodyComplete);
    m_claims.finishRan(*context.claim, std::move(recorded));
}

void request_forwarder::replyRecorded(request_context &context,
                                      const wire::recorded_response &response)
{
    context.outcome = "recorded";
    context.rule = "key-recorded";
    context.status = static_cast<int>(response.status());
    http_fields fields
        = {{"Buckthorn-Decision", context.decisionId}, {"Buckthorn-Outcome", "recorded"}};
    if (!response.content_type().empty())
        fields.emplace_back("Content-Type", response.content_type());
    if (!response.body_complete())
        fields.emplace_back("Buckthorn-Body-Omitted", "true");
    m_decisions.count(decision_kind::selection, "key-recorded");
    context.exchange.reply(static_cast<int>(response.status()), fields,
                           response.body_complete() ? response.body() : std::string());
}

void request_forwarder::refuse(request_context &context, int status, const std::string &outcome,
                               std::string_view rule, const std::string &message)
{
    context.outcome = outcome;
    context.rule = rule;
    context.status = status;
    decision_record record;
    record.id = context.decisionId;
    record.time = m_clock.wallNow();
    record.kind = decision_kind::refusal;
    record.revision = context.config->revision;
    record.profileVersion = context.rules().version;
    record.setRule(rule);
    record.setOutcome(outcome);
    record.addInput("service", context.service.name);
    m_decisions.add(record);
    m_events.write(event_id::request_refused,
                   {{"decision", context.decisionId},
                    {"service", context.service.name},
                    {"outcome", outcome},
                    {"rule", rule}});
    http_fields fields = {{"Buckthorn-Decision", context.decisionId},
                          {"Buckthorn-Outcome", outcome},
                          {"Content-Type", "text/plain"}};
    if (status == serviceUnavailable || status == conflict || status == gatewayTimeout
        || (status == badGateway && outcome == "not-run"))
        fields.emplace_back("Retry-After", "1");
    context.exchange.reply(status, fields, message + "\n");
}

void request_forwarder::recordCompletion(request_context &context)
{
    const auto elapsed = m_clock.now() - context.started;
    m_metrics
        .counter(
            "buckthorngrade_requests_total",
            fmt::format("service=\"{}\",outcome=\"{}\"", context.service.name, context.outcome))
        .add();
    m_metrics
        .summary("buckthorngrade_request_seconds",
                 fmt::format("service=\"{}\"", context.service.name))
        .add(elapsed);
    if (context.outcome == "ran")
        m_events.write(event_id::request_carried,
                       {{"decision", context.decisionId},
                        {"service", context.service.name},
                        {"upstream", context.upstream},
                        {"status", context.status},
                        {"outcome", context.outcome}});
}

} // namespace buckthorngrade
