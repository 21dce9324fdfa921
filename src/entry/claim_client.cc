#include "entry/claim_client.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxPendingOutcomes = 1'024;
// Covers a call to a leader in another region, including a commit (220 ms) and a slow disk.
constexpr std::chrono::milliseconds callTimeout{1'500};
constexpr std::chrono::milliseconds connectTimeout{300};
// An election takes 1 to 3 s. If no leader has accepted the request by then, it is refused.
constexpr std::chrono::milliseconds beginTimeout{3'000};
constexpr std::chrono::milliseconds retryDelay{50};
constexpr std::chrono::milliseconds popTimeout{100};
// After this time the request's record has become unknown, so its outcome is no longer useful.
constexpr std::chrono::minutes deliveryTimeout{5};
constexpr std::chrono::seconds shutdownTimeout{2};

claim_client::status statusFromWire(wire::begin_status value)
{
    switch (value) {
    case wire::BEGIN_PROCEED:
        return claim_client::status::proceed;
    case wire::BEGIN_IN_PROGRESS:
        return claim_client::status::in_progress;
    case wire::BEGIN_RECORDED:
        return claim_client::status::recorded;
    case wire::BEGIN_DIFFERENT_CONTENT:
        return claim_client::status::different_content;
    case wire::BEGIN_FULL:
        return claim_client::status::full;
    case wire::BEGIN_EXPIRED_KEY:
        return claim_client::status::expired;
    case wire::BEGIN_SUPERSEDED:
        return claim_client::status::superseded;
    case wire::BEGIN_INVALID:
        return claim_client::status::invalid;
    default:
        return claim_client::status::unknown;
    }
}

} // namespace

std::string_view toString(claim_client::status status)
{
    constexpr std::array<std::string_view, 11> names
        = {"proceed",           "in-progress", "recorded", "unknown",
           "different-content", "full",        "expired",  "superseded",
           "invalid",           "unreachable", "lost"};
    return names[static_cast<std::size_t>(status)];
}

claim_client::claim_client(const settings &config, std::uint64_t incarnation,
                           const control_channels &channels, leader_hint &leader,
                           const clock_source &clock, event_log &events, metric_registry &metrics,
                           const json_tracer &tracer)
    : m_settings(config)
    , m_incarnation(incarnation)
    , m_channels(channels)
    , m_leader(leader)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_pendingOutcomes(maxPendingOutcomes)
    , m_thread([this] { deliverOutcomes(); })
{ }

claim_client::~claim_client()
{
    m_pendingOutcomes.close();
    m_thread.join();
}

std::string claim_client::digestOf(const std::string &method, const std::string &path,
                                   const std::string &contentType, const std::string &length,
                                   std::string_view firstPart)
{
    // The lengths precede the texts, so that different fields cannot concatenate to the same bytes.
    const std::string text
        = fmt::format("{} {} {} {} {}\n{}\n{}\n{}\n", method.size(), path.size(),
                      contentType.size(), length, method, path, contentType, firstPart);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::uint64_t claim_client::newAttempt()
{
    thread_local std::mt19937_64 engine(std::random_device{}());
    std::uint64_t attempt = 0;
    while (attempt == 0)
        attempt = engine();
    return attempt;
}

// Alternates between the last known leader and the members in turn: the leader may be dead, and
// another member knows the new one.
const control_channels::member *claim_client::chooseMember(std::size_t attempt) const
{
    if (const auto *leader = m_channels.find(m_leader.leader()); leader && attempt % 2 == 0)
        return leader;
    const auto &members = m_channels.members();
    return members.empty() ? nullptr : &members[attempt / 2 % members.size()];
}

claim_client::call_result claim_client::callBegin(const wire::begin_request &request,
                                                  wire::begin_reply &reply, steady_time deadline)
{
    bool mayBeRecorded = false;
    for (std::size_t attempt = 0; m_clock.now() < deadline; ++attempt) {
        const auto *member = chooseMember(attempt);
        if (!member)
            return call_result::not_reached;
        const auto remaining
            = std::min<steady_time::duration>(deadline - m_clock.now(), callTimeout);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + remaining);
        // Waiting for the connection first distinguishes a call that was never sent from one whose
        // reply was lost.
        if (!control_channels::waitForConnection(
                *member,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::min<steady_time::duration>(remaining, connectTimeout))))
            continue;
        reply.Clear();
        if (member->link->BeginRequest(&context, request, &reply).ok()) {
            m_leader.observe(reply.leader());
            if (reply.accepted())
                return call_result::done;
            mayBeRecorded = mayBeRecorded || reply.unknown();
        } else {
            mayBeRecorded = true;
        }
        std::this_thread::sleep_for(retryDelay);
    }
    return mayBeRecorded ? call_result::lost : call_result::not_reached;
}

claim_client::begin_result claim_client::begin(const claim &keyClaim, steady_time deadline,
                                               const opentracing::Span &parent)
{
    const auto span = m_tracer.startChild("entry.begin", parent);
    wire::begin_request request;
    request.set_service(keyClaim.service);
    request.set_key(keyClaim.key);
    request.set_digest(keyClaim.digest);
    request.set_instance(m_settings.instance);
    request.set_incarnation(m_incarnation);
    request.set_attempt(keyClaim.attempt);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
    request.set_deadline_ms(std::max<std::int64_t>(remaining.count(), 1));
    wire::begin_reply reply;
    begin_result result;
    switch (callBegin(request, reply, std::min(deadline, m_clock.now() + beginTimeout))) {
    case call_result::done:
        result.outcome = statusFromWire(reply.outcome().status());
        result.response = reply.outcome().response();
        break;
    case call_result::not_reached:
        result.outcome = status::unreachable;
        break;
    case call_result::lost:
        result.outcome = status::lost;
        // This attempt is never executed, so its record, if there is one, can be withdrawn.
        finishWithdrawn(keyClaim);
        break;
    }
    span->SetTag("outcome", std::string(toString(result.outcome)));
    m_metrics
        .counter("buckthorngrade_claims_total",
                 fmt::format("service=\"{}\",outcome=\"{}\"", keyClaim.service,
                             toString(result.outcome)))
        .add();
    return result;
}

void claim_client::finishRan(const claim &keyClaim, wire::recorded_response response)
{
    queueOutcome(keyClaim, wire::finish_request::RAN, std::move(response));
}

void claim_client::finishUnknown(const claim &keyClaim)
{
    queueOutcome(keyClaim, wire::finish_request::UNKNOWN, {});
}

void claim_client::finishWithdrawn(const claim &keyClaim)
{
    queueOutcome(keyClaim, wire::finish_request::WITHDRAWN, {});
}

void claim_client::queueOutcome(const claim &keyClaim, wire::finish_request::outcome_kind outcome,
                                wire::recorded_response response)
{
    wire::finish_request request;
    request.set_service(keyClaim.service);
    request.set_key(keyClaim.key);
    request.set_instance(m_settings.instance);
    request.set_incarnation(m_incarnation);
    request.set_attempt(keyClaim.attempt);
    request.set_outcome(outcome);
    if (outcome == wire::finish_request::RAN)
        *request.mutable_response() = std::move(response);
    if (!m_pendingOutcomes.tryPush(std::move(request))) {
        m_metrics.counter("buckthorngrade_claim_outcomes_dropped_total").add();
        m_events.write(event_id::claim_outcome_dropped, {{"service", keyClaim.service}});
    }
}

void claim_client::deliverOutcomes()
{
    std::optional<steady_time> stopAt;
    while (true) {
        const auto request = m_pendingOutcomes.pop(popTimeout);
        if (!request) {
            if (m_pendingOutcomes.isClosed())
                return;
            continue;
        }
        m_isDelivering = true;
        const steady_time giveUpAt = m_clock.now() + deliveryTimeout;
        std::size_t attempt = 0;
        bool isDelivered = deliver(*request, attempt);
        while (!isDelivered && m_clock.now() < giveUpAt) {
            if (m_pendingOutcomes.isClosed() && !stopAt)
                stopAt = m_clock.now() + shutdownTimeout;
            if (stopAt && m_clock.now() >= *stopAt)
                break;
            std::this_thread::sleep_for(retryDelay);
            isDelivered = deliver(*request, ++attempt);
        }
        m_isDelivering = false;
        if (!isDelivered) {
            m_metrics.counter("buckthorngrade_claim_outcomes_dropped_total").add();
            m_events.write(event_id::claim_outcome_dropped, {{"service", request->service()}});
        }
    }
}

// Returns true if the control group has recorded the outcome or rejected it permanently.
bool claim_client::deliver(const wire::finish_request &request, std::size_t attempt)
{
    const auto *member = chooseMember(attempt);
    if (!member || !control_channels::waitForConnection(*member, connectTimeout))
        return false;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    wire::finish_reply reply;
    if (!member->link->FinishRequest(&context, request, &reply).ok())
        return false;
    m_leader.observe(reply.leader());
    return reply.accepted();
}

} // namespace buckthorngrade
