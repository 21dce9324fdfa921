#include "carrier/proxied_request.h"

#include "carrier/notice_fields.h"

#include "steering/upstream_placement.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int notFound = 404;
constexpr int requestTimeout = 408;
constexpr int misdirected = 421;
constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;
constexpr int firstServerError = 500;

constexpr std::chrono::milliseconds defaultDeadline{30'000}; // if the request has no deadline field
// The caller closes its connection at the deadline, so the response must arrive before it.
constexpr std::chrono::milliseconds deadlineMargin{20};
constexpr std::uint32_t maxUnreachedAttempts = 4;
constexpr std::uint64_t maxResponseBytes = 16U << 20;
// Longest idle time of a connection that is reused. The upstream is more likely to close a
// connection that was idle for longer, and a request that is not idempotent can't be retried after
// that.
constexpr std::chrono::milliseconds maxIdleIdempotent{6'000};
constexpr std::chrono::milliseconds maxIdleNonIdempotent{2'500};
constexpr std::chrono::milliseconds minRetryAfter{300};

// Hop-by-hop fields, and fields that the proxy sets itself on each connection.
constexpr std::array<std::string_view, 10> hopByHopFields = {"Connection",
                                                             "Keep-Alive",
                                                             "Transfer-Encoding",
                                                             "TE",
                                                             "Trailer",
                                                             "Upgrade",
                                                             "Expect",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Connection",
                                                             "Content-Length"};

bool isHopByHopField(const http_head &head, std::string_view name)
{
    if (std::ranges::any_of(hopByHopFields,
                            [&](std::string_view field) { return equalsIgnoreCase(field, name); }))
        return true;
    // Fields listed in the Connection field are hop-by-hop, too.
    std::string_view list;
    const std::string *connection = head.find("Connection");
    if (connection == nullptr)
        return false;
    list = *connection;
    while (!list.empty()) {
        const auto comma = list.find(',');
        std::string_view option = list.substr(0, comma);
        while (option.starts_with(' '))
            option.remove_prefix(1);
        while (option.ends_with(' '))
            option.remove_suffix(1);
        if (equalsIgnoreCase(option, name))
            return true;
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

// Returns the value of the cookie `name`, or nullopt if the request has none.
std::optional<std::string> cookieValue(const http_head &head, std::string_view name)
{
    for (const auto &[field, value] : head.fields) {
        if (!equalsIgnoreCase(field, "Cookie"))
            continue;
        std::string_view list = value;
        while (!list.empty()) {
            const auto end = list.find(';');
            std::string_view pair = list.substr(0, end);
            while (pair.starts_with(' '))
                pair.remove_prefix(1);
            const auto equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                return std::string(pair.substr(equals + 1));
            list = end == std::string_view::npos ? std::string_view() : list.substr(end + 1);
        }
    }
    return std::nullopt;
}

std::int64_t elapsedMs(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

std::string_view nameOf(call_failure failure)
{
    switch (failure) {
    case call_failure::not_connected:
        return "not connected";
    case call_failure::not_sent:
        return "connection lost before sending";
    case call_failure::no_response:
        return "no response";
    case call_failure::malformed:
        return "malformed response";
    case call_failure::truncated:
        return "truncated response";
    case call_failure::too_large:
        return "response too large";
    case call_failure::unassigned:
        return "response without a request id";
    }
    return "unknown";
}

} // namespace

proxied_request::proxied_request(reverse_proxy &proxy, exchange_pointer exchange)
    : m_proxy(proxy)
    , m_exchange(std::move(exchange))
    , m_id(m_exchange->head.get(proxy.m_headerNames.requestId))
    , m_routes(proxy.m_routes)
{
    m_proxy.m_activeRequests.insert(this);
}

proxied_request::~proxied_request()
{
    m_proxy.m_activeRequests.erase(this);
}

void proxied_request::abandon()
{
    m_isFinished = true;
    m_exchange->onCallerGone = nullptr;
    m_exchange->onBody = nullptr;
    m_proxy.m_loop.cancel(m_timeoutTimer);
    m_proxy.m_loop.cancel(m_connectTimer);
    if (m_client)
        m_client->cancel();
    m_client.reset();
    m_upstream.reset();
    m_choice.coldPermit = {};
    m_choice.limitPermit = {};
}

std::chrono::milliseconds proxied_request::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_responseDeadline - std::chrono::steady_clock::now());
}

void proxied_request::start()
{
    const http_head &head = m_exchange->head;
    if (!m_routes) {
        respondLocally(unavailable, "no routing document yet");
        return;
    }
    if (m_proxy.m_isStopping) {
        respondLocally(unavailable, "stopping");
        return;
    }
    m_route = m_routes->find(head.get("Host"), head.target);
    if (m_route == nullptr) {
        respondLocally(notFound, "no route");
        return;
    }
    const auto requestedMs = parseNumber(head.get(m_proxy.m_headerNames.deadlineMs));
    const auto timeAllowed = requestedMs
        ? std::chrono::milliseconds(std::max<std::int64_t>(0, *requestedMs))
        : defaultDeadline;
    m_callerDeadline = m_exchange->arrival + timeAllowed;
    m_responseDeadline = m_callerDeadline - deadlineMargin;
    if (m_route->timeout.count() > 0)
        m_responseDeadline = std::min(m_responseDeadline, m_exchange->arrival + m_route->timeout);
    m_affinityObject = cookieValue(head, m_proxy.m_headerNames.affinityCookie);
    if (m_affinityObject)
        m_affinityHash = combineHashes(hashOf(routeKey(*m_route)), hashOf(*m_affinityObject));
    m_service = m_proxy.m_splitter.choose(*m_route);
    m_proxy.stateOf(m_service).budget.recordRequest(m_proxy.m_loop.now());
    if (timeLeft().count() <= 0) {
        respondLocally(unavailable, "its time was over on arrival");
        return;
    }
    m_timeoutTimer = m_proxy.m_loop.runAfter(timeLeft(), [self = shared_from_this()] {
        self->m_timeoutTimer = 0;
        self->handleTimeout();
    });
    m_exchange->onCallerGone = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleCallerGone();
    };
    m_exchange->onBody = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->forwardBody();
    };
    startAttempt();
}

void proxied_request::startAttempt()
{
    m_choice
        = m_proxy.choose(*m_route, m_service, m_affinityHash, m_exchange->bodyBytes(), m_tried);
    if (!m_choice.upstream) {
        respondLocally(m_mayHaveRun ? badGateway : unavailable, m_choice.reason);
        return;
    }
    m_upstream = m_choice.upstream;
    m_tried.insert(m_upstream->listed.id);
    ++m_upstream->inFlight;
    const bool isIdempotent = m_route->kind == request_kind::idempotent;
    // Without a request id, a response can't be told from a late response to an earlier request on
    // the same connection, so the request gets a new connection.
    if (!m_id.empty())
        m_client = m_proxy.m_upstreams.takeIdle(
            *m_upstream, isIdempotent ? maxIdleIdempotent : maxIdleNonIdempotent);
    m_isReused = m_client != nullptr;
    if (!m_client) {
        try {
            m_client = std::make_unique<http_client>(m_proxy.m_loop, m_upstream->address,
                                                     maxResponseBytes, m_proxy.m_responseBudget);
        } catch (const net_error &failure) {
            m_proxy.m_events.write(event_id::attempt_failed,
                                   {{"id", m_id}, {"reason", failure.what()}});
            releaseUpstream();
            respondLocally(m_mayHaveRun ? badGateway : unavailable, "no descriptor");
            return;
        }
        const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(
            m_proxy.connectTimeoutTo(*m_upstream).value(m_proxy.m_loop.now()));
        m_connectTimer = m_proxy.m_loop.runAfter(timeout, [self = shared_from_this()] {
            self->m_connectTimer = 0;
            self->handleConnectTimeout();
        });
    }
    send();
}

void proxied_request::send()
{
    m_sentAt = m_proxy.m_loop.now();
    m_wantsQuiet = false;
    ++m_attempts;
    m_isChunked
        = m_exchange->head.framing == body_framing::chunked && !m_exchange->isBodyComplete();
    m_bodySent = m_exchange->body().size();
    http_client::call call;
    call.isRequestComplete = m_exchange->isBodyComplete();
    call.request = encode(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(m_callerDeadline, m_responseDeadline) - std::chrono::steady_clock::now()));
    call.isHead = m_exchange->head.method == "HEAD";
    if (!m_id.empty())
        call.ownerOf = [this](const http_head &head) {
            const std::string *echoed = head.find(m_proxy.m_headerNames.requestId);
            if (echoed == nullptr)
                return response_owner::unknown;
            return *echoed == m_id ? response_owner::current_call : response_owner::other_call;
        };
    call.onSent = [self = shared_from_this()] { self->handleSent(); };
    call.onHead = [self = shared_from_this()](const http_head &head) { self->handleHead(head); };
    call.onResponse = [self = shared_from_this()](const client_response &response) {
        self->handleResponse(response);
    };
    call.onFailure
        = [self = shared_from_this()](call_failure failure) { self->handleFailure(failure); };
    m_client->start(std::move(call));
}

std::string proxied_request::encode(std::chrono::milliseconds left) const
{
    const http_head &head = m_exchange->head;
    const proxy_header_names &headerNames = m_proxy.m_headerNames;
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (const auto &[name, value] : head.fields)
        if (!isHopByHopField(head, name) && !equalsIgnoreCase(name, headerNames.deadlineMs)
            && !equalsIgnoreCase(name, headerNames.expectedUpstream))
            text += fmt::format("{}: {}\r\n", name, value);
    text += fmt::format("{}: {}\r\n{}: {}\r\n", headerNames.deadlineMs,
                        std::max<std::int64_t>(1, left.count()), headerNames.expectedUpstream,
                        m_upstream->listed.id);
    if (m_isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    else if (head.framing != body_framing::none)
        text += fmt::format("Content-Length: {}\r\n", m_exchange->bodyBytes());
    text += "\r\n";
    text += encodeBody(0);
    return text;
}

std::string proxied_request::encodeBody(std::size_t from) const
{
    const std::string_view bytes = std::string_view(m_exchange->body()).substr(from);
    if (!m_isChunked)
        return std::string(bytes);
    std::string text;
    if (!bytes.empty())
        text = fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    if (m_exchange->isBodyComplete())
        text += "0\r\n\r\n";
    return text;
}

void proxied_request::forwardBody()
{
    if (!m_client || !m_client->isBusy())
        return;
    m_client->append(encodeBody(m_bodySent), m_exchange->isBodyComplete());
    m_bodySent = m_exchange->body().size();
}

bool proxied_request::isNotRun(const client_response &response) const
{
    return response.head.status == misdirected
        || response.head.find(m_proxy.m_headerNames.notRun) != nullptr;
}

void proxied_request::handleHead(const http_head &head)
{
    const notice_fields notices = parseNoticeFields(head, m_proxy.m_headerNames);
    if (notices.hasIgnoredValue && m_proxy.m_log.shouldLog(event_id::upstream_notice_ignored))
        m_proxy.m_log.write(event_id::upstream_notice_ignored,
                            {{"id", m_id}, {"upstream", m_upstream->listed.id}});
    // The response of another process says nothing about this upstream.
    const std::string *sender = head.find(m_proxy.m_headerNames.upstreamId);
    if (sender != nullptr && *sender != m_upstream->listed.id)
        return;
    m_wantsQuiet = notices.quietPeriod.has_value();
    // An unreadable limit says neither that there is none nor how high it is. A misdirected request
    // was answered by another process, unless the response names this one.
    const bool isFromAnother = head.status == misdirected && sender == nullptr;
    if (!isFromAnother && (notices.requestLimit || !notices.hasRequestLimitField))
        m_proxy.recordLimit(m_upstream, notices.requestLimit);
    if (notices.isLeaving)
        m_proxy.recordLeaving(m_upstream);
    if (notices.quietPeriod)
        m_proxy.recordQuiet(m_upstream, *notices.quietPeriod);
    else
        m_upstream->notices->recordResponse(m_proxy.m_loop.now());
}

bool proxied_request::isWaitingFor(const upstream_pointer &upstream) const
{
    return !m_isFinished && m_upstream == upstream && m_client && !m_client->hasSent();
}

void proxied_request::applyLimit(const upstream_pointer &upstream)
{
    if (!isWaitingFor(upstream) || m_choice.limitPermit.isHeld())
        return;
    m_choice.limitPermit = m_proxy.tryReserveLimit(*upstream, m_proxy.m_loop.now());
    if (!m_choice.limitPermit.isHeld())
        withdrawUnsent(upstream);
}

void proxied_request::withdrawUnsent(const upstream_pointer &upstream)
{
    if (!isWaitingFor(upstream))
        return;
    m_client->cancel();
    m_proxy.m_loop.cancel(m_connectTimer);
    logFailedAttempt("withdrawn");
    releaseUpstream();
    --m_attempts;
    retryOrRespond(m_mayHaveRun ? badGateway : unavailable, "upstream wants no requests",
                   attempt_reach::nothing);
}

void proxied_request::handleResponse(const client_response &response)
{
    m_proxy.m_loop.cancel(m_connectTimer);
    const steady_time now = m_proxy.m_loop.now();
    const int status = response.head.status;
    upstream_state &upstream = *m_upstream;
    if (const std::string *load = response.head.find(m_proxy.m_headerNames.load)) {
        const auto comma = load->find(',');
        const auto running = parseNumber(*load);
        const auto waiting = comma == std::string::npos
            ? std::nullopt
            : parseNumber(std::string_view(*load).substr(comma + 1));
        if (running && waiting)
            upstream.recordLoad(static_cast<double>(*running), static_cast<double>(*waiting), now);
    }
    const bool notRun = isNotRun(response);
    // A success that is not signed comes from another program at the upstream's address.
    const bool isUnsigned = status >= firstSuccess && status < firstRedirection
        && response.head.find(m_proxy.m_headerNames.seal) == nullptr;
    const bool isFailure = notRun || isUnsigned || status >= firstServerError;
    // A rejection that names its end is no sign of a fault.
    if (!m_wantsQuiet)
        upstream.recordOutcome(isFailure, now);
    if (!isFailure) {
        m_proxy.recordServiceTime(
            upstream, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_sentAt));
        if (m_affinityHash)
            upstream.recordHandled(*m_affinityHash, now);
    }
    if (status == misdirected) {
        const std::string *other = response.head.find(m_proxy.m_headerNames.upstreamId);
        upstream.isReplaced = other == nullptr || *other != upstream.listed.id;
    } else {
        upstream.restarts.recordResponse(m_client->connectedAt(), now);
    }
    if (isFailure)
        logFailedAttempt(notRun ? "not run" : isUnsigned ? "not signed" : "failed");
    releaseUpstream();
    if (m_isFinished) {
        m_proxy.m_loop.cancel(m_timeoutTimer);
        return;
    }
    if (notRun) {
        const bool isMisdirected = status == misdirected;
        if (isMisdirected)
            --m_attempts;
        retryOrRespond(unavailable, "upstream refused",
                       isMisdirected ? attempt_reach::other_process : attempt_reach::upstream);
        return;
    }
    const bool impliesNotRun
        = status == unavailable || status == tooManyRequests || status == requestTimeout;
    if (status >= firstServerError || impliesNotRun || isUnsigned) {
        m_mayHaveRun = true;
        if (m_route->kind == request_kind::idempotent && mayRetry(attempt_reach::upstream)) {
            startAttempt();
            return;
        }
        // Callers take these statuses as a guarantee that the request did not run, and a success
        // as the upstream's.
        if (impliesNotRun || isUnsigned) {
            respondLocally(badGateway,
                           isUnsigned ? "upstream's response is not signed" : "upstream failed");
            return;
        }
    }
    forwardResponse(response);
}

void proxied_request::handleFailure(call_failure failure)
{
    m_proxy.m_loop.cancel(m_connectTimer);
    const steady_time now = m_proxy.m_loop.now();
    const bool reachedUpstream
        = failure != call_failure::not_connected && failure != call_failure::not_sent;
    if (failure == call_failure::not_connected)
        m_proxy.m_upstreams.recordConnectionLoss(*m_upstream, now);
    else if (failure != call_failure::malformed && failure != call_failure::too_large
             && failure != call_failure::unassigned)
        m_proxy.m_upstreams.recordConnectionLoss(*m_upstream, m_client->lastReceivedAt());
    if (failure == call_failure::not_connected)
        m_upstream->recordUnreachable(now);
    else if (reachedUpstream)
        m_upstream->recordOutcome(true, now);
    // A closed idle connection is not a failure of the upstream, so it may be tried again.
    if (failure == call_failure::not_sent && m_isReused)
        m_tried.erase(m_upstream->listed.id);
    logFailedAttempt(nameOf(failure));
    releaseUpstream();
    if (m_isFinished) {
        m_proxy.m_loop.cancel(m_timeoutTimer);
        return;
    }
    if (!reachedUpstream)
        --m_attempts;
    m_mayHaveRun = m_mayHaveRun || reachedUpstream;
    if (reachedUpstream && m_route->kind != request_kind::idempotent) {
        respondLocally(badGateway, "outcome unknown");
        return;
    }
    retryOrRespond(m_mayHaveRun ? badGateway : unavailable, "upstreams failed",
                   reachedUpstream ? attempt_reach::upstream : attempt_reach::nothing);
}

void proxied_request::handleConnectTimeout()
{
    if (!m_client || m_client->isConnected())
        return;
    m_client->cancel();
    handleFailure(call_failure::not_connected);
}

bool proxied_request::mayRetry(attempt_reach reached)
{
    if (timeLeft().count() <= 0 || m_exchange->isCallerGone())
        return false;
    const bool hasAttemptsLeft = reached == attempt_reach::upstream
        ? m_attempts < std::max(1U, m_route->maxAttempts)
        : ++m_unreachedAttempts < maxUnreachedAttempts;
    if (reached == attempt_reach::nothing)
        return hasAttemptsLeft;
    return hasAttemptsLeft
        && m_proxy.stateOf(m_service).budget.tryRetry(m_proxy.m_loop.now(),
                                                      m_proxy.retryAllowanceSharers());
}

void proxied_request::retryOrRespond(int status, const char *reason, attempt_reach reached)
{
    if (mayRetry(reached))
        startAttempt();
    else
        respondLocally(m_mayHaveRun && status == unavailable ? badGateway : status, reason);
}

void proxied_request::handleTimeout()
{
    const bool wasSent = m_client && m_client->hasSent();
    if (m_upstream) {
        m_upstream->recordOutcome(true, m_proxy.m_loop.now());
        logFailedAttempt("timed out");
    }
    if (m_client)
        m_client->cancel();
    releaseUpstream();
    if (m_isFinished)
        return;
    if (wasSent || m_mayHaveRun)
        respondLocally(gatewayTimeout, "time over");
    else
        respondLocally(unavailable, "time over before it was sent");
}

void proxied_request::handleCallerGone()
{
    if (m_isFinished)
        return;
    if (m_proxy.m_log.shouldLog(event_id::caller_left))
        m_proxy.m_log.write(event_id::caller_left,
                            {{"id", m_id}, {"upstream", m_upstream ? m_upstream->listed.id : ""}});
    const bool isSent = m_client && m_client->hasSent() && m_exchange->isBodyComplete();
    m_isFinished = true;
    // A request that is not idempotent runs on until its timeout, because cancelling it would leave
    // its outcome unknown.
    if (m_client && isSent && m_route->kind != request_kind::idempotent)
        return;
    if (m_client)
        m_client->cancel();
    releaseUpstream();
    m_proxy.m_loop.cancel(m_timeoutTimer);
    m_proxy.m_loop.cancel(m_connectTimer);
}

void proxied_request::releaseUpstream()
{
    m_choice.coldPermit = {};
    m_choice.limitPermit = {};
    if (m_upstream) {
        --m_upstream->inFlight;
        // An upstream that is no longer listed destroys its idle connections when it is released
        // below, and this connection may be on the call stack.
        const bool isListed = m_proxy.m_upstreams.find(m_upstream->listed.id) == m_upstream;
        if (m_client && m_client->isReusable() && isListed && !m_id.empty())
            m_proxy.m_upstreams.keepIdle(m_upstream, std::move(m_client));
        m_upstream.reset();
    }
    // Defers the destruction, because a method of the connection may be on the call stack.
    if (m_client)
        m_proxy.m_loop.post([closed = std::shared_ptr<http_client>(std::move(m_client))] {});
    m_client.reset();
}

void proxied_request::forwardResponse(const client_response &response)
{
    http_fields fields;
    for (const auto &[name, value] : response.head.fields)
        if (!isHopByHopField(response.head, name))
            fields.emplace_back(name, value);
    if (m_proxy.m_log.shouldLog(event_id::request_answered))
        m_proxy.m_log.write(event_id::request_answered,
                            {{"id", m_id},
                             {"route", m_route->name},
                             {"status", response.head.status},
                             {"object", m_affinityObject.value_or("")},
                             {"upstream", m_choice.upstream->listed.id},
                             {"domain", m_choice.upstream->listed.failureDomain},
                             {"first", m_choice.isFirst},
                             {"warm", m_choice.isWarm},
                             {"load", m_choice.load},
                             {"expected_ms", static_cast<std::int64_t>(m_choice.expected.count())},
                             {"sent_after_ms", elapsedMs(m_exchange->arrival, m_sentAt)},
                             {"took_ms", elapsedMs(m_sentAt, m_proxy.m_loop.now())},
                             {"attempts", m_attempts},
                             {"version", m_routes->document().version},
                             {"left_ms", timeLeft().count()}});
    finish();
    m_exchange->respond(response.head.status, fields, response.body);
}

// Returns the soonest time, in seconds, at which an upstream may take the request.
std::string proxied_request::retryAfter() const
{
    const steady_time now = m_proxy.m_loop.now();
    std::chrono::milliseconds wait = minRetryAfter;
    if (m_route != nullptr && m_proxy.m_upstreams.usable(m_service, now).empty())
        if (const auto next = m_proxy.m_upstreams.nextAvailable(m_service, now))
            wait = std::max(wait, std::chrono::ceil<std::chrono::milliseconds>(*next - now));
    return fmt::format("{:.1f}", std::ceil(static_cast<double>(wait.count()) / 100) / 10);
}

void proxied_request::respondLocally(int status, const char *reason)
{
    http_fields fields;
    if (!m_id.empty())
        fields.emplace_back(m_proxy.m_headerNames.requestId, m_id);
    if (status == unavailable)
        fields.emplace_back("Retry-After", retryAfter());
    if (m_proxy.m_log.shouldLog(event_id::request_failed))
        m_proxy.m_log.write(event_id::request_failed,
                            {{"id", m_id},
                             {"route", m_route ? m_route->name : ""},
                             {"status", status},
                             {"reason", reason},
                             {"attempts", m_attempts},
                             {"unreached", m_unreachedAttempts},
                             {"version", m_routes ? m_routes->document().version : 0},
                             {"left_ms", m_route ? timeLeft().count() : 0}});
    m_proxy.m_metrics
        .counter("buckthorngrade_own_answers_total",
                 fmt::format("status=\"{}\",reason=\"{}\"", status, reason))
        .add();
    finish();
    m_exchange->respond(status, fields, std::string(reason) + "\n");
}

void proxied_request::finish()
{
    m_isFinished = true;
    m_proxy.m_loop.cancel(m_timeoutTimer);
    m_proxy.m_loop.cancel(m_connectTimer);
    m_exchange->onCallerGone = nullptr;
    m_exchange->onBody = nullptr;
}

void proxied_request::handleSent()
{
    if (!m_upstream)
        return;
    const steady_time now = m_proxy.m_loop.now();
    if (!m_isReused)
        m_proxy.connectTimeoutTo(*m_upstream).record(now - m_sentAt, now);
    if (m_choice.coldPermit.isHeld())
        recordColdRequestSent(now);
    if (m_upstream->notices->requestLimit())
        recordLimitedRequestSent(now);
    m_choice.limitPermit.recordSent(now);
}

void proxied_request::recordLimitedRequestSent(steady_time now)
{
    m_proxy.m_metrics.counter("buckthorngrade_limited_requests_total").add();
    if (m_proxy.m_log.shouldLog(event_id::limited_request_sent))
        m_proxy.m_log.write(event_id::limited_request_sent,
                            {{"id", m_id},
                             {"upstream", m_upstream->listed.id},
                             {"per_second", *m_upstream->notices->requestLimit()},
                             {"limited_ms", elapsedMs(m_upstream->notices->limitedSince(), now)},
                             {"share", m_choice.limitPermit.share().requests},
                             {"interval_ms", m_choice.limitPermit.share().interval.count()},
                             {"instances", m_proxy.m_peers.peers().size()},
                             {"instances_age_ms", m_proxy.m_peers.age(boot_clock::now()).count()},
                             {"waited_ms", elapsedMs(m_sentAt, now)}});
}

void proxied_request::recordColdRequestSent(steady_time now)
{
    m_choice.coldPermit.recordSent(now);
    m_proxy.m_metrics.counter("buckthorngrade_cold_requests_total").add();
    if (m_proxy.m_log.shouldLog(event_id::cold_request_sent))
        m_proxy.m_log.write(event_id::cold_request_sent,
                            {{"id", m_id},
                             {"upstream", m_upstream->listed.id},
                             {"reason", m_upstream->coldReason},
                             {"cold_ms", elapsedMs(now, std::max(now, m_upstream->coldUntil))},
                             {"share", m_choice.coldPermit.share().requests},
                             {"instances", m_proxy.m_peers.peers().size()},
                             {"instances_age_ms", m_proxy.m_peers.age(boot_clock::now()).count()},
                             {"waited_ms", elapsedMs(m_sentAt, now)}});
}

void proxied_request::logFailedAttempt(std::string_view outcome)
{
    if (m_upstream && m_proxy.m_log.shouldLog(event_id::attempt_failed))
        m_proxy.m_log.write(event_id::attempt_failed,
                            {{"id", m_id},
                             {"upstream", m_upstream->listed.id},
                             {"domain", m_upstream->listed.failureDomain},
                             {"outcome", outcome},
                             {"attempt", m_attempts},
                             {"after_ms", elapsedMs(m_sentAt, m_proxy.m_loop.now())}});
}

} // namespace buckthorngrade
