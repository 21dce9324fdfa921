#include "entry/request_carrier.h"

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
struct request_carrier::work
{
    work(service_balancer &balancerToUse, http_exchange &callerExchange,
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
    std::string decision;
    std::shared_ptr<const config_snapshot> config;
    steady_time started;
    steady_time deadline;
    request_body body;
    request_kind kind = request_kind::idempotent;
    std::optional<claim_client::claim> claim;
    bool isClaimOpen = false; // the request is recorded and its outcome is not
    bool isForeign = false;
    std::vector<bool> tried;
    std::uint32_t retries = 0;
    bool mayHaveRun = false; // an upstream may have executed an earlier attempt
    std::string outcome = "unknown";
    std::string rule;
    std::string upstream;
    int status = 0;

    ~work()
    {
        if (isForeign)
            balancer.leaveForeign();
    }
    work(const work &) = delete;
    work &operator=(const work &) = delete;

    const profile &rules() const { return balancer.activeProfile(*config); }
};

request_carrier::request_carrier(const settings &config, const config_source &source,
                                 const std::vector<std::unique_ptr<service_balancer>> &balancers,
                                 claim_client &claims, decision_log &decisions, link_meter &links,
                                 upstream_pool &pool, const client_locator &locator,
                                 const clock_source &clock, event_log &events,
                                 metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_config(source)
    , m_balancers(balancers)
    , m_claims(claims)
    , m_decisions(decisions)
    , m_links(links)
    , m_pool(pool)
    , m_locator(locator)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void request_carrier::carry(std::size_t service, const std::string &path, http_exchange &exchange,
                            const opentracing::Span &parent)
{
    work item(*m_balancers[service], exchange, parent, path);
    item.decision = m_decisions.nextId();
    item.config = m_config.current();
    item.started = m_clock.now();
    item.tried.assign(item.service.upstreams.size(), false);
    try {
        start(item);
    } catch (const caller_error &failure) {
        // Outside of an attempt nothing was sent; an attempt that fails with a caller error sets
        // mayHaveRun if something may have been.
        if (item.isClaimOpen)
            finishKey(item, item.mayHaveRun ? key_action::record_unknown : key_action::withdraw, {},
                      false, nullptr);
        answerCallerError(item, failure);
    } catch (const socket_error &) { // the caller left before the refusal was sent
        exchange.abort();
    }
    if (item.isClaimOpen)
        finishKey(item, key_action::record_unknown, {}, false, nullptr);
    conclude(item);
}

void request_carrier::answerCallerError(work &item, const caller_error &failure)
{
    item.outcome = item.mayHaveRun ? "unknown" : "not-run";
    item.rule = "caller-failed";
    if (failure.status() == 0 || item.exchange.isHeadSent())
        return item.exchange.abort();
    item.exchange.setClosing();
    try {
        refuse(item, failure.status(), item.outcome, "caller-failed", failure.what());
    } catch (const socket_error &) { // the caller has left in the meantime
        item.exchange.abort();
    }
}

void request_carrier::start(work &item)
{
    const http_head &head = item.exchange.head();
    item.deadline = item.started + item.service.requestDeadline;
    if (const std::string *given = head.find(deadlineHeader)) {
        const auto limit = parseMilliseconds(*given);
        if (!limit)
            return refuse(item, badRequest, "not-run", "malformed-deadline",
                          "malformed Buckthorn-Deadline-Ms");
        item.deadline = std::min(item.deadline, item.started + *limit);
    }
    if (!isIdempotent(head.method))
        item.kind = head.find(keyHeader) ? request_kind::keyed : request_kind::non_idempotent;
    if (item.kind == request_kind::keyed) {
        const std::string key = head.get(keyHeader);
        const auto repeated = std::ranges::count_if(head.fields, [](const auto &field) {
            return equalsIgnoreCase(field.first, keyHeader);
        });
        if (key.empty() || key.size() > claim_client::maxKeyBytes || !isVisibleAscii(key)
            || repeated > 1)
            return refuse(item, badRequest, "not-run", "malformed-key",
                          "malformed Idempotency-Key");
    }
    // The first part is read before a slot is acquired, so that a slow caller does not hold one.
    item.body.readFirstPart(item.deadline);
    if (!admit(item))
        return;
    if (item.kind == request_kind::keyed && !beginClaim(item))
        return;
    item.balancer.recordFirstAttempt();
    runTries(item);
}

bool request_carrier::admit(work &item)
{
    const auto place = m_locator.locate(item.exchange.clientAddress());
    const bool isForeign = place && !place->region.empty() && place->region != m_settings.region();
    if (!isForeign)
        return true;
    if (!item.balancer.tryEnterForeign()) {
        refuse(item, serviceUnavailable, "not-run", "foreign-limit",
               "this region takes no more requests of callers in other regions for now");
        return false;
    }
    item.isForeign = true;
    return true;
}

bool request_carrier::beginClaim(work &item)
{
    const http_head &head = item.exchange.head();
    const std::string length
        = head.framing == body_framing::chunked ? "chunked" : fmt::to_string(head.contentLength);
    item.claim = claim_client::claim{item.service.name, head.get(keyHeader),
                                     claim_client::digestOf(head.method, item.path,
                                                            head.get("Content-Type"), length,
                                                            item.body.firstPart()),
                                     claim_client::newAttempt()};
    const auto result = m_claims.begin(*item.claim, item.deadline, item.span);
    switch (result.outcome) {
    case claim_client::status::proceed:
        item.isClaimOpen = true;
        return true;
    case claim_client::status::recorded:
        replyRecorded(item, result.response);
        return false;
    case claim_client::status::in_progress:
        refuse(item, conflict, "in-progress", "key-in-progress",
               "the request with this key is being run");
        return false;
    case claim_client::status::unknown:
        refuse(item, badGateway, "unknown", "key-unknown",
               "the request with this key may have run");
        return false;
    case claim_client::status::different_content:
        refuse(item, unprocessable, "not-run", "key-different-content",
               "the key was used for a request with other content");
        return false;
    case claim_client::status::expired:
        refuse(item, conflict, "unknown", "key-expired",
               "the key is older than the records that are kept; it may have run");
        return false;
    case claim_client::status::invalid:
        refuse(item, badRequest, "not-run", "key-invalid", "the key was rejected");
        return false;
    case claim_client::status::full:
        refuse(item, serviceUnavailable, "not-run", "key-records-full",
               "no room for another keyed request");
        return false;
    case claim_client::status::superseded:
        refuse(item, serviceUnavailable, "not-run", "key-superseded",
               "this instance can't record keyed requests");
        return false;
    case claim_client::status::unreachable:
        refuse(item, serviceUnavailable, "not-run", "control-unreachable",
               "keyed requests can't be recorded now");
        return false;
    case claim_client::status::lost:
        // This attempt is not executed, but an earlier request with this key may have been.
        refuse(item, serviceUnavailable, "unknown", "key-record-lost",
               "it is unknown whether a request with this key has run; send it again");
        return false;
    }
    return false;
}

void request_carrier::runTries(work &item)
{
    while (true) {
        decision_record record;
        record.id = item.decision;
        record.time = m_clock.wallNow();
        record.revision = item.config->revision;
        record.profileVersion = item.rules().version;
        const bool isRecorded = m_decisions.admitOrdinary();
        const auto admission = m_tracer.startChild("entry.admission", item.span);
        const auto chosen
            = item.balancer.take(item.tried, item.deadline, isRecorded ? &record : nullptr);
        admission->SetTag("rule", std::string(chosen.rule));
        admission->Finish();
        if (!chosen.upstream) {
            record.addInput("service", item.service.name);
            record.addRuledOut("selection", chosen.rule);
            record.kind = decision_kind::refusal;
            record.setRule(chosen.rule);
            m_decisions.add(record);
            const auto point = chosen.isDeadlinePassed ? failure_point::deadline_unsent
                                                       : failure_point::no_capacity;
            const retry_decision decision = decide(item, point);
            finishKey(item, decision.key, {}, false, nullptr);
            return refuse(item, decision.status, std::string(toString(decision.outcome)),
                          chosen.rule, "no upstream has a free slot");
        }
        if (isRecorded)
            m_decisions.add(record);
        else
            m_decisions.count(decision_kind::selection, chosen.rule);
        item.rule = chosen.rule;
        if (tryUpstream(item, *chosen.upstream))
            return;
        ++item.retries;
        m_metrics
            .counter("buckthorngrade_retries_total",
                     fmt::format("service=\"{}\"", item.service.name))
            .add();
    }
}

bool request_carrier::tryUpstream(work &item, std::size_t index)
{
    // Releases the slot only after the attempt has ended.
    struct slot_holder
    {
        service_balancer &balancer;
        std::size_t upstream;
        ~slot_holder() { balancer.release(upstream); }
    };
    const slot_holder holder{item.balancer, index};
    const upstream_spec &upstream = item.service.upstreams[index];
    item.tried[index] = true;
    item.upstream = upstream.name;
    const auto span = m_tracer.startChild("entry.try", item.span);
    span->SetTag("upstream", upstream.name);

    const std::string region = item.balancer.regionOf(index);
    upstream_try attempt(m_pool, m_links, upstream,
                         region == m_settings.region() ? std::string() : region);
    const http_head &head = item.exchange.head();
    upstream_try::request request;
    request.method = head.method;
    request.target = item.path;
    request.fields = endToEndFields(head);
    std::erase_if(request.fields,
                  [](const auto &field) { return equalsIgnoreCase(field.first, "traceparent"); });
    request.fields.emplace_back("traceparent", traceparentOf(*span));
    request.hasBody = head.framing != body_framing::none;
    if (head.framing == body_framing::length)
        request.length = head.contentLength;
    else if (item.body.isWhole())
        request.length = item.body.firstPart().size();

    const bool canCancel = item.kind == request_kind::idempotent;
    const steady_time started = m_clock.now();
    try {
        const auto failure = attempt.run(request, item.body, item.deadline,
                                         canCancel ? item.exchange.descriptor() : -1);
        if (failure) {
            span->SetTag("failure", std::string(toString(*failure)));
            return handleFailure(item, index, attempt, *failure);
        }
        span->SetTag("status", attempt.response().status);
        const int status = attempt.response().status;
        const std::string *notRun = attempt.response().find("Not-Run");
        const bool isShed
            = status == serviceUnavailable && notRun && equalsIgnoreCase(*notRun, "true");
        if (isShed)
            return handleFailure(item, index, attempt, failure_point::shed);
        if (status == serviceUnavailable || status == tooManyRequests) {
            item.balancer.recordShed(index);
            const retry_decision decision = decide(item, failure_point::other_503_or_429);
            if (decision.action == retry_action::retry) {
                // The upstream responded, so the request may have had an effect there.
                item.mayHaveRun = true;
                attempt.cancel(std::chrono::milliseconds(0));
                return false;
            }
        }
        handleResponse(item, index, attempt, started);
        return true;
    } catch (const caller_left &) {
        span->SetTag("failure", "caller-left");
        item.exchange.abort();
        item.outcome = "unknown";
        item.rule = "cancelled";
        // The slot stays in use until the upstream has closed the connection, or must have stopped
        // because the deadline has passed.
        attempt.cancel(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::max<steady_time::duration>(
                item.deadline - m_clock.now(), std::chrono::milliseconds(0))));
        return true;
    } catch (const caller_error &) {
        item.mayHaveRun = item.mayHaveRun || attempt.mayHaveSent();
        attempt.cancel(std::chrono::milliseconds(200));
        throw;
    }
}

retry_decision request_carrier::decide(work &item, failure_point point)
{
    decision_record record;
    record.id = item.decision;
    record.time = m_clock.wallNow();
    record.revision = item.config->revision;
    record.profileVersion = item.rules().version;
    retry_input input;
    input.point = point;
    input.kind = item.kind;
    input.bodyReplayable = item.body.isReplayable();
    input.deadlineLeft
        = std::chrono::duration_cast<std::chrono::milliseconds>(item.deadline - m_clock.now());
    input.retriesDone = item.retries;
    input.maxRetries = item.rules().maxRetries;
    input.budgetAvailable = item.balancer.canRetry(item.rules().retryBudget);
    input.alternativeAvailable = item.balancer.hasAlternative(item.tried);
    input.earlierAttemptUnknown = item.mayHaveRun;
    retry_decision decision = decideRetry(input, &record);
    if (decision.action == retry_action::retry
        && !item.balancer.tryRetry(item.rules().retryBudget)) {
        // A concurrent request has used up the budget.
        input.budgetAvailable = false;
        decision = decideRetry(input, &record);
    }
    if (!item.upstream.empty())
        record.addInput("upstream", item.upstream);
    m_decisions.add(record);
    return decision;
}

bool request_carrier::handleFailure(work &item, std::size_t upstream, upstream_try &attempt,
                                    failure_point point)
{
    if (point == failure_point::shed) {
        item.balancer.recordShed(upstream);
    } else if (point != failure_point::deadline_unsent
               && item.balancer.recordFailure(upstream, point)) {
        m_events.write(event_id::upstream_ejected,
                       {{"service", item.service.name}, {"upstream", item.upstream}});
        decision_record record;
        record.id = m_decisions.nextId();
        record.time = m_clock.wallNow();
        record.kind = decision_kind::ejection;
        record.revision = item.config->revision;
        record.setRule("consecutive-failures");
        record.setOutcome(item.upstream);
        record.addInput("failure_point", toString(point));
        m_decisions.add(record);
    }
    const retry_decision decision = decide(item, point);
    if (decision.action == retry_action::retry) {
        item.mayHaveRun = item.mayHaveRun || point == failure_point::sent_no_head;
        attempt.cancel(std::chrono::milliseconds(0));
        return false;
    }
    finishKey(item, decision.key, {}, false, nullptr);
    const std::string outcome(toString(decision.outcome));
    if (decision.outcome == request_outcome::unknown)
        m_events.write(event_id::request_outcome_unknown,
                       {{"decision", item.decision},
                        {"service", item.service.name},
                        {"upstream", item.upstream},
                        {"reason", attempt.failureText()}});
    try {
        refuse(item, decision.status, outcome, decision.rule,
               fmt::format("the upstream failed: {}", toString(point)));
    } catch (const socket_error &) { // the caller has left as well
        item.exchange.abort();
    }
    // The upstream stops at the deadline that was sent to it, which passes one transit time after
    // the local one.
    attempt.cancel(point == failure_point::deadline_sent ? std::chrono::milliseconds(1'000)
                                                         : std::chrono::milliseconds(0));
    return true;
}

void request_carrier::handleResponse(work &item, std::size_t upstream, upstream_try &attempt,
                                     steady_time started)
{
    constexpr int firstServerError = 500;
    const int status = attempt.response().status;
    if (status < firstServerError)
        item.balancer.recordSuccess(
            upstream,
            std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - started));
    item.status = status;
    relay(item, upstream, attempt);
}

void request_carrier::relay(work &item, std::size_t upstream, upstream_try &attempt)
{
    const http_head &response = attempt.response();
    http_fields fields = endToEndFields(response);
    std::erase_if(fields, [](const auto &field) {
        return equalsIgnoreCase(field.first, "Buckthorn-Outcome")
            || equalsIgnoreCase(field.first, "Buckthorn-Decision");
    });
    fields.emplace_back("Buckthorn-Decision", item.decision);
    fields.emplace_back("Buckthorn-Outcome", "ran");
    // The response to a HEAD request states the length of the body that is not sent.
    std::optional<std::uint64_t> length;
    if (response.framing == body_framing::length
        || (response.framing == body_framing::none && response.find("Content-Length")))
        length = response.contentLength;
    const bool canCancel = item.kind == request_kind::idempotent;
    bool hasCaller = true;
    const auto toCaller = [&](const auto &send) {
        if (!hasCaller)
            return;
        try {
            send();
        } catch (const socket_error &) {
            hasCaller = false;
        }
    };
    toCaller([&] {
        item.exchange.sendHead(
            response.status, response.reason.empty() ? reasonOf(response.status) : response.reason,
            fields, length);
    });
    std::string kept;
    std::uint64_t total = 0;
    bool isTruncated = false;
    std::vector<char> buffer(copyBufferBytes);
    try {
        while (hasCaller || !canCancel) {
            const std::size_t count = attempt.readBody(buffer.data(), buffer.size(), item.deadline);
            if (count == 0)
                break;
            total += count;
            const std::string_view part(buffer.data(), count);
            if (item.isClaimOpen)
                kept.append(part.substr(0, claim_client::maxRecordedBody - kept.size()));
            toCaller([&] { item.exchange.sendBody(part); });
        }
    } catch (const error &failure) {
        isTruncated = true;
        m_events.write(event_id::request_truncated,
                       {{"decision", item.decision},
                        {"service", item.service.name},
                        {"upstream", item.upstream},
                        {"reason", failure.what()}});
    }
    if (isTruncated) {
        item.balancer.recordFailure(upstream, failure_point::body_truncated);
        finishKey(item, decide(item, failure_point::body_truncated).key, {}, false, nullptr);
        item.exchange.abort();
        item.outcome = "unknown";
        item.rule = "body-truncated";
        return attempt.cancel(std::chrono::milliseconds(200));
    }
    item.outcome = "ran";
    finishKey(item, key_action::record_response, kept, kept.size() == total, &response);
    if (!hasCaller) {
        item.exchange.abort();
        return canCancel ? attempt.cancel(std::chrono::milliseconds(1'000)) : attempt.finish();
    }
    attempt.finish();
    toCaller([&] { item.exchange.finish(); });
    if (!hasCaller)
        item.exchange.abort();
}

void request_carrier::finishKey(work &item, key_action action, const std::string &body,
                                bool isBodyComplete, const http_head *response)
{
    if (!item.isClaimOpen || action == key_action::keep)
        return;
    item.isClaimOpen = false;
    if (action == key_action::withdraw)
        return m_claims.finishWithdrawn(*item.claim);
    if (action == key_action::record_unknown || !response)
        return m_claims.finishUnknown(*item.claim);
    wire::recorded_response recorded;
    recorded.set_status(static_cast<std::uint32_t>(response->status));
    recorded.set_content_type(response->get("Content-Type"));
    recorded.set_body(body);
    recorded.set_body_complete(isBodyComplete);
    m_claims.finishRan(*item.claim, std::move(recorded));
}

void request_carrier::replyRecorded(work &item, const wire::recorded_response &response)
{
    item.outcome = "recorded";
    item.rule = "key-recorded";
    item.status = static_cast<int>(response.status());
    http_fields fields = {{"Buckthorn-Decision", item.decision}, {"Buckthorn-Outcome", "recorded"}};
    if (!response.content_type().empty())
        fields.emplace_back("Content-Type", response.content_type());
    if (!response.body_complete())
        fields.emplace_back("Buckthorn-Body-Omitted", "true");
    m_decisions.count(decision_kind::selection, "key-recorded");
    item.exchange.reply(static_cast<int>(response.status()), fields,
                        response.body_complete() ? response.body() : std::string());
}

void request_carrier::refuse(work &item, int status, const std::string &outcome,
                             std::string_view rule, const std::string &message)
{
    item.outcome = outcome;
    item.rule = rule;
    item.status = status;
    decision_record record;
    record.id = item.decision;
    record.time = m_clock.wallNow();
    record.kind = decision_kind::refusal;
    record.revision = item.config->revision;
    record.profileVersion = item.rules().version;
    record.setRule(rule);
    record.setOutcome(outcome);
    record.addInput("service", item.service.name);
    m_decisions.add(record);
    m_events.write(event_id::request_refused,
                   {{"decision", item.decision},
                    {"service", item.service.name},
                    {"outcome", outcome},
                    {"rule", rule}});
    http_fields fields = {{"Buckthorn-Decision", item.decision},
                          {"Buckthorn-Outcome", outcome},
                          {"Content-Type", "text/plain"}};
    if (status == serviceUnavailable || status == conflict || status == gatewayTimeout
        || (status == badGateway && outcome == "not-run"))
        fields.emplace_back("Retry-After", "1");
    item.exchange.reply(status, fields, message + "\n");
}

void request_carrier::conclude(work &item)
{
    const auto elapsed = m_clock.now() - item.started;
    m_metrics
        .counter("buckthorngrade_requests_total",
                 fmt::format("service=\"{}\",outcome=\"{}\"", item.service.name, item.outcome))
        .add();
    m_metrics
        .summary("buckthorngrade_request_seconds", fmt::format("service=\"{}\"", item.service.name))
        .add(elapsed);
    if (item.outcome == "ran")
        m_events.write(event_id::request_carried,
                       {{"decision", item.decision},
                        {"service", item.service.name},
                        {"upstream", item.upstream},
                        {"status", item.status},
                        {"outcome", item.outcome}});
}

} // namespace buckthorngrade
