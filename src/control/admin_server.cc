#include "control/admin_server.h"

#include "base/utc_time.h"
#include "control/allocation_service.h"
#include "model/drain.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <set>
#include <sstream>

namespace buckthorngrade {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t maxBodyBytes = 128 * 1024;
constexpr std::size_t maxUriBytes = 2 * 1024;
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxIdBytes = 64;
constexpr std::size_t maxTextBytes = 1024;
constexpr std::size_t maxHeaders = 64;
constexpr std::chrono::seconds memberChangeTimeout{5};
// Headers with the content of an edit, and headers that HTTP clients add on their own.
constexpr std::array<std::string_view, 3> editHeaders = {"request-id", "operator", "reason"};
constexpr std::array<std::string_view, 19> clientHeaders = {"host",
                                                            "user-agent",
                                                            "accept",
                                                            "accept-encoding",
                                                            "accept-language",
                                                            "connection",
                                                            "keep-alive",
                                                            "content-length",
                                                            "transfer-encoding",
                                                            "content-type",
                                                            "date",
                                                            "expect",
                                                            "traceparent",
                                                            "tracestate",
                                                            "via",
                                                            "forwarded",
                                                            "cache-control",
                                                            "pragma",
                                                            "te"};
constexpr const char *jsonType = "application/json";

// The request is malformed or too large.
class bad_request : public control_error
{
public:
    explicit bad_request(const std::string &what, int status = HTTPServerResponse::HTTP_BAD_REQUEST)
        : control_error(what)
        , m_status(status)
    { }
    int status() const { return m_status; }

private:
    int m_status;
};

std::string toLower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

// Rejects a body by its declared size before it is read. An unread body leaves the connection in an
// unknown state, so handle() closes the connection.
void checkContentLength(const HTTPServerRequest &request)
{
    if (request.hasContentLength()
        && request.getContentLength64() > static_cast<Poco::Int64>(maxBodyBytes))
        throw bad_request(fmt::format("the body is larger than {} bytes", maxBodyBytes),
                          HTTPServerResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
}

void checkEditHeaders(const HTTPServerRequest &request)
{
    if (static_cast<std::size_t>(request.size()) > maxHeaders)
        throw bad_request(fmt::format("there are more than {} headers", maxHeaders));
    std::set<std::string> seen;
    for (const auto &[header, value] : request) {
        const std::string name = toLower(header);
        const bool isEditHeader = std::ranges::find(editHeaders, name) != editHeaders.end();
        if (!isEditHeader && !name.starts_with("x-")
            && std::ranges::find(clientHeaders, name) == clientHeaders.end())
            throw bad_request(fmt::format("unknown header '{}'; an edit has Request-Id, Operator "
                                          "and Reason",
                                          header.substr(0, maxNameBytes)));
        if (isEditHeader && !seen.insert(name).second)
            throw bad_request(fmt::format("the header '{}' is repeated", header));
        const std::size_t limit = name == "request-id" ? maxIdBytes : maxTextBytes;
        if (isEditHeader && value.size() > limit)
            throw bad_request(
                fmt::format("the header '{}' is longer than {} bytes", header, limit));
        if (isEditHeader && std::ranges::any_of(value, [](char c) {
                return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
            }))
            throw bad_request(fmt::format("the header '{}' has a control character", header));
    }
}

// Rejects repeated keys. POCO's parser keeps only the last of them, so they are detected while
// parsing.
class unique_key_handler final : public Poco::JSON::ParseHandler
{
public:
    void key(const std::string &name) override
    {
        if (!m_keys.insert(name).second)
            throw bad_request(fmt::format("the key '{}' is repeated", name));
        Poco::JSON::ParseHandler::key(name);
    }

private:
    std::set<std::string> m_keys;
};

// Parses one JSON object and rejects keys that are not in `known`.
Object::Ptr parseObject(const std::string &body, const std::set<std::string> &known)
{
    try {
        Poco::JSON::Parser parser(new unique_key_handler);
        constexpr std::size_t maxDepth = 4;
        parser.setDepth(maxDepth);
        auto object = parser.parse(body).extract<Object::Ptr>();
        for (const auto &[name, value] : *object)
            if (!known.contains(name))
                throw bad_request(
                    fmt::format("unknown key '{}' in the body", name.substr(0, maxNameBytes)));
        return object;
    } catch (const Poco::Exception &failure) {
        throw bad_request("the body must be one JSON object: " + failure.displayText());
    }
}

// Reads a time, given as RFC 3339 in UTC or as milliseconds since 1970. Returns milliseconds since
// 1970, or 0 if the key is missing.
std::int64_t timeField(const Object &object, const std::string &key)
{
    if (!object.has(key))
        return 0;
    const Poco::Dynamic::Var value = object.get(key);
    if (value.isInteger())
        return value.convert<std::int64_t>();
    const auto time = value.isString() ? parseUtcTime(value.toString()) : std::nullopt;
    if (!time)
        throw bad_request(
            fmt::format("'{}' must be a time in UTC such as 2026-12-04T07:00:00Z", key));
    return std::chrono::duration_cast<std::chrono::milliseconds>(time->time_since_epoch()).count();
}

std::string toJsonText(const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str() + "\n";
}

void sendJson(HTTPServerResponse &response, int status, const Object &object)
{
    sendBody(response, status, jsonType, toJsonText(object));
}

void sendError(HTTPServerResponse &response, int status, const std::string &code,
               const std::string &message)
{
    Object object;
    object.set("status", code);
    object.set("message", message);
    sendJson(response, status, object);
}

std::string formatTime(std::int64_t unixMs)
{
    const std::chrono::system_clock::time_point time{std::chrono::milliseconds(unixMs)};
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::floor<std::chrono::seconds>(time)), unixMs % 1000);
}

std::string readBody(HTTPServerRequest &request)
{
    checkContentLength(request);
    std::string body(maxBodyBytes + 1, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > maxBodyBytes)
        throw bad_request(fmt::format("the body is larger than {} bytes", maxBodyBytes),
                          HTTPServerResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
    return body;
}

std::uint64_t queryNumber(const std::map<std::string, std::string> &query, const std::string &key)
{
    const auto found = query.find(key);
    if (found == query.end())
        return 0;
    std::uint64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto [rest, failure] = std::from_chars(found->second.data(), end, value);
    if (failure != std::errc() || rest != end)
        throw bad_request(fmt::format("'{}' must be a whole number", key));
    return value;
}

wire::edit editFromHeaders(const HTTPServerRequest &request)
{
    wire::edit edit;
    edit.set_request_id(request.get("Request-Id", ""));
    edit.set_operator_name(request.get("Operator", ""));
    edit.set_reason(request.get("Reason", ""));
    if (edit.request_id().empty())
        throw bad_request("the header Request-Id is missing");
    if (edit.operator_name().empty())
        throw bad_request("the header Operator is missing");
    return edit;
}

Object::Ptr versionObject(const wire::profile_version &version)
{
    Object::Ptr object = new Object;
    object->set("name", version.name());
    object->set("version", version.version());
    object->set("base_version", version.base_version());
    object->set("revision", version.revision());
    object->set("operator", version.operator_name());
    object->set("request_id", version.request_id());
    object->set("reason", version.reason());
    object->set("time", formatTime(version.wall_ms()));
    return object;
}

std::string statusName(wire::edit_status status)
{
    switch (status) {
    case wire::EDIT_ACCEPTED:
        return "accepted";
    case wire::EDIT_CONFLICT:
        return "conflict";
    case wire::EDIT_NOT_FOUND:
        return "not-found";
    case wire::EDIT_REQUEST_MISMATCH:
        return "request-mismatch";
    case wire::EDIT_REQUEST_EXPIRED:
        return "request-expired";
    default:
        return "invalid";
    }
}

int httpStatus(wire::edit_status status)
{
    switch (status) {
    case wire::EDIT_ACCEPTED:
        return 200;
    case wire::EDIT_CONFLICT:
    case wire::EDIT_REQUEST_MISMATCH:
        return 409;
    case wire::EDIT_NOT_FOUND:
        return 404;
    case wire::EDIT_REQUEST_EXPIRED:
        return 410;
    default:
        return 422;
    }
}

struct member_response
{
    int status;
    std::string_view code;
    std::string_view message;
};

member_response responseFor(membership_result result)
{
    switch (result) {
    case membership_result::started:
        return {202, "started", "the change is in the leader's log; the status shows the members"};
    case membership_result::busy:
        return {409, "busy", "another change is under way, or the leader is new; try again"};
    case membership_result::no_request:
        return {409, "no-request",
                "the replica did not ask to join recently; start it with an empty data folder"};
    case membership_result::not_member:
        return {404, "not-found", "there is no such member"};
    case membership_result::already_member:
        return {409, "already-member", "the replica is a member"};
    case membership_result::quorum_at_risk:
        return {409, "quorum-at-risk",
                "the remaining voters that answer are no majority, or it is the leader itself"};
    case membership_result::not_leader:
        break;
    }
    return {503, "unavailable", "the control group has no leader now"};
}

Object::Ptr drainObject(const wire::drain_record &drain)
{
    Object::Ptr object = new Object;
    object->set("id", drain.id());
    object->set(
        "kind",
        std::string(toString(static_cast<drain_target>(drain.kind() - wire::TARGET_UPSTREAM))));
    object->set("target", drain.target());
    object->set("reason", drain.reason());
    object->set("operator", drain.operator_name());
    object->set("start", formatTime(drain.start_ms()));
    object->set("end", drain.end_ms() == 0 ? std::string() : formatTime(drain.end_ms()));
    object->set("revision", drain.revision());
    return object;
}

wire::edit drainEdit(const HTTPServerRequest &request, const std::string &body)
{
    wire::edit edit = editFromHeaders(request);
    const auto object = parseObject(body, {"kind", "target", "start", "end"});
    wire::announce_drain *drain = edit.mutable_drain();
    try {
        const auto kind = drainTargetFromString(object->getValue<std::string>("kind"));
        drain->set_kind(
            static_cast<wire::target_kind>(static_cast<int>(kind) + wire::TARGET_UPSTREAM));
        drain->set_target(object->getValue<std::string>("target"));
    } catch (const Poco::Exception &failure) {
        throw bad_request("the body must have kind and target: " + failure.displayText());
    } catch (const settings_error &failure) {
        throw bad_request(failure.what());
    }
    drain->set_start_ms(timeField(*object, "start"));
    drain->set_end_ms(timeField(*object, "end"));
    return edit;
}

} // namespace

admin_server::admin_server(const settings &config, const control_state &state, edit_service &edits,
                           const replicator &log, membership_manager *members,
                           instance_registry &registry, const leader_confirmation &confirmed,
                           const clock_source &clock, event_log &events,
                           const metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_state(state)
    , m_edits(edits)
    , m_log(log)
    , m_members(members)
    , m_registry(registry)
    , m_confirmed(confirmed)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void admin_server::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const auto span = m_tracer.startFromHeader("control.admin", request.get("traceparent", ""));
    span->SetTag("http.method", request.getMethod());
    try {
        if (request.getURI().size() > maxUriBytes)
            throw bad_request(fmt::format("the path is longer than {} bytes", maxUriBytes),
                              HTTPServerResponse::HTTP_REQUEST_URI_TOO_LONG);
        const Poco::URI uri(request.getURI());
        request_target target;
        target.path = uri.getPath();
        for (const auto &[key, value] : uri.getQueryParameters())
            if (!target.query.emplace(key, value).second)
                throw bad_request(fmt::format("the parameter '{}' is repeated", key));
        span->SetTag("http.path", target.path);
        if (const auto confirmed = m_confirmed.read())
            response.set("Confirmed-Age-Ms",
                         fmt::to_string(std::chrono::ceil<std::chrono::milliseconds>(
                                            m_clock.now() - confirmed->at)
                                            .count()));
        route(request, response, target);
    } catch (const bad_request &failure) {
        response.setKeepAlive(false);
        sendError(response, failure.status(), "bad-request", failure.what());
    } catch (const Poco::SyntaxException &failure) {
        response.setKeepAlive(false);
        sendError(response, HTTPServerResponse::HTTP_BAD_REQUEST, "bad-request",
                  failure.displayText());
    }
    span->SetTag("http.status", static_cast<int>(response.getStatus()));
}

const std::vector<admin_server::route_entry> &admin_server::routes()
{
    using self = admin_server;
    static const std::vector<route_entry> table = {
        {"GET", "/healthz", "", false, {}, false, &self::getHealth},
        {"GET", "/readyz", "", false, {}, false, &self::getReadiness},
        {"GET", "/metrics", "", false, {}, false, &self::getMetrics},
        {"GET", "/v1/status", "", false, {}, false, &self::getStatus},
        {"GET", "/v1/profiles", "", false, {}, false, &self::listProfiles},
        {"GET", "/v1/profiles/", "/history", true, {}, false, &self::getHistory},
        {"GET", "/v1/profiles/", "", true, {"version"}, false, &self::getProfile},
        {"PUT", "/v1/profiles/", "", true, {"base_version"}, true, &self::putProfile},
        {"GET", "/v1/drains", "", false, {}, false, &self::listDrains},
        {"POST", "/v1/drains", "", false, {}, true, &self::announceDrain},
        {"DELETE", "/v1/drains/", "", true, {}, true, &self::cancelDrain},
        {"POST", "/v1/instances/", "/remove", true, {}, true, &self::removeInstance},
        {"POST", "/v1/members/", "", true, {}, true, &self::changeMembers},
    };
    return table;
}

void admin_server::route(HTTPServerRequest &request, HTTPServerResponse &response,
                         const request_target &target)
{
    const std::string_view path = target.path;
    std::string allowed;
    for (const route_entry &entry : routes()) {
        const bool matches = entry.hasName ? path.size() > entry.prefix.size() + entry.suffix.size()
                && path.starts_with(entry.prefix) && path.ends_with(entry.suffix)
                                           : path == entry.prefix;
        if (!matches)
            continue;
        const std::string name(
            entry.hasName ? path.substr(entry.prefix.size(),
                                        path.size() - entry.prefix.size() - entry.suffix.size())
                          : std::string_view());
        if (name.find('/') != std::string::npos)
            continue;
        if (request.getMethod() != entry.method) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(entry.method);
            continue;
        }
        if (name.size() > maxNameBytes)
            throw bad_request(
                fmt::format("the name in the path is longer than {} bytes", maxNameBytes));
        for (const auto &[key, value] : target.query)
            if (!entry.parameters.contains(key))
                throw bad_request(
                    fmt::format("unknown parameter '{}'", key.substr(0, maxNameBytes)));
        if (entry.isEdit)
            checkEditHeaders(request);
        return (this->*entry.handler)(request, response, name, target);
    }
    response.setKeepAlive(false);
    if (!allowed.empty()) {
        response.set("Allow", allowed);
        return sendError(response, HTTPServerResponse::HTTP_METHOD_NOT_ALLOWED, "bad-request",
                         "this path accepts " + allowed);
    }
    sendError(
        response, HTTPServerResponse::HTTP_NOT_FOUND, "not-found",
        fmt::format("no such path: {} {}", request.getMethod(), path.substr(0, maxTextBytes)));
}

void admin_server::getHealth(HTTPServerRequest &, HTTPServerResponse &response, const std::string &,
                             const request_target &)
{
    sendBody(response, HTTPServerResponse::HTTP_OK, "text/plain", "ok\n");
}

void admin_server::getMetrics(HTTPServerRequest &, HTTPServerResponse &response,
                              const std::string &, const request_target &)
{
    sendBody(response, HTTPServerResponse::HTTP_OK, "text/plain; version=0.0.4",
             m_metrics.render());
}

void admin_server::listProfiles(HTTPServerRequest &, HTTPServerResponse &response,
                                const std::string &, const request_target &)
{
    Array::Ptr list = new Array;
    for (const auto &version : m_state.profiles())
        list->add(versionObject(version));
    Object object;
    object.set("profiles", list);
    sendJson(response, 200, object);
}

void admin_server::getProfile(HTTPServerRequest &, HTTPServerResponse &response,
                              const std::string &name, const request_target &target)
{
    const auto version = m_state.findProfile(name, queryNumber(target.query, "version"));
    if (!version)
        return sendError(response, 404, "not-found",
                         fmt::format("no such profile or version: {}", name));
    response.set("Profile-Version", std::to_string(version->version()));
    response.set("Revision", std::to_string(version->revision()));
    sendBody(response, 200, "application/yaml", version->yaml());
}

void admin_server::getHistory(HTTPServerRequest &, HTTPServerResponse &response,
                              const std::string &name, const request_target &)
{
    const auto versions = m_state.history(name);
    if (versions.empty())
        return sendError(response, 404, "not-found", fmt::format("no such profile: {}", name));
    Array::Ptr list = new Array;
    for (const auto &version : versions)
        list->add(versionObject(version));
    Object object;
    object.set("versions", list);
    sendJson(response, 200, object);
}

void admin_server::putProfile(HTTPServerRequest &request, HTTPServerResponse &response,
                              const std::string &name, const request_target &target)
{
    wire::edit edit = editFromHeaders(request);
    if (!target.query.contains("base_version"))
        throw bad_request("base_version is missing; use 0 for a new profile");
    edit.mutable_put()->set_name(name);
    edit.mutable_put()->set_base_version(queryNumber(target.query, "base_version"));
    edit.mutable_put()->set_yaml(readBody(request));
    submitAndRespond(response, edit);
}

void admin_server::listDrains(HTTPServerRequest &, HTTPServerResponse &response,
                              const std::string &, const request_target &)
{
    Array::Ptr list = new Array;
    for (const auto &drain : m_state.drains())
        list->add(drainObject(drain));
    Object object;
    object.set("drains", list);
    sendJson(response, 200, object);
}

void admin_server::announceDrain(HTTPServerRequest &request, HTTPServerResponse &response,
                                 const std::string &, const request_target &)
{
    submitAndRespond(response, drainEdit(request, readBody(request)));
}

void admin_server::cancelDrain(HTTPServerRequest &request, HTTPServerResponse &response,
                               const std::string &id, const request_target &)
{
    wire::edit edit = editFromHeaders(request);
    edit.mutable_cancel()->set_id(id);
    submitAndRespond(response, edit);
}

void admin_server::removeInstance(HTTPServerRequest &request, HTTPServerResponse &response,
                                  const std::string &name, const request_target &)
{
    wire::edit edit = editFromHeaders(request);
    edit.mutable_remove()->set_instance(name);
    submitAndRespond(response, edit);
}

// Handles the changes "add" {"id", "stays_learner"}, "remove" {"id"} and "replace" {"old", "new"}.
// The request id is only logged and not used to detect repeated requests, because resending a
// change that is already in force changes nothing.
void admin_server::changeMembers(HTTPServerRequest &request, HTTPServerResponse &response,
                                 const std::string &action, const request_target &)
{
    const wire::edit metadata = editFromHeaders(request);
    const auto body = readBody(request);
    if (!m_members)
        return sendError(response, HTTPServerResponse::HTTP_NOT_IMPLEMENTED, "unavailable",
                         "this control instance is not part of a group");
    const auto number = [](const Object &object, const std::string &key) {
        const auto value = object.get(key);
        if (!value.isInteger() || value.convert<std::int64_t>() < 1
            || value.convert<std::int64_t>() > UINT8_MAX)
            throw bad_request(fmt::format("'{}' must be a replica id, 1 to 255", key));
        return value.convert<replica_id>();
    };
    std::function<std::future<membership_result>()> change;
    if (action == "add") {
        const auto object = parseObject(body, {"id", "stays_learner"});
        change = [this, id = number(*object, "id"),
                  learner = object->optValue("stays_learner", false)] {
            return m_members->addMember(id, learner);
        };
    } else if (action == "remove") {
        const auto object = parseObject(body, {"id"});
        change = [this, id = number(*object, "id")] { return m_members->removeMember(id); };
    } else if (action == "replace") {
        const auto object = parseObject(body, {"old", "new"});
        change = [this, oldId = number(*object, "old"), newId = number(*object, "new")] {
            return m_members->replaceMember(oldId, newId);
        };
    } else {
        throw bad_request("expected /v1/members/add, /remove or /replace");
    }
    m_events.write(event_id::member_change_requested,
                   {{"action", action},
                    {"body", body},
                    {"request", metadata.request_id()},
                    {"operator", metadata.operator_name()},
                    {"reason", metadata.reason()}});
    auto future = change();
    if (future.wait_for(memberChangeTimeout) != std::future_status::ready)
        return sendError(response, HTTPServerResponse::HTTP_GATEWAY_TIMEOUT, "unknown",
                         "the change may have been started; the status shows the members");
    const membership_result result = future.get();
    if (result == membership_result::not_leader)
        return sendNotLeader(response, m_log.view().leader);
    const member_response reply = responseFor(result);
    sendError(response, reply.status, std::string(reply.code), std::string(reply.message));
}

void admin_server::sendNotLeader(HTTPServerResponse &response, replica_id leader)
{
    const control_member *member = m_settings.findMember(leader);
    if (!member || leader == m_settings.control.id)
        return sendError(response, HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE, "unavailable",
                         "the control group has no leader now; the change was not accepted");
    response.set("Leader", member->httpAddress);
    sendError(response, HTTPServerResponse::HTTP_MISDIRECTED_REQUEST, "not-leader",
              "send the change to the leader");
}

void admin_server::submitAndRespond(HTTPServerResponse &response, const wire::edit &edit)
{
    const command_result result = m_edits.submitEdit(edit);
    if (result.outcome == submit_result::status::unknown)
        return sendError(response, 504, "unknown",
                         "it is not known whether the edit was accepted; resend it with the same "
                         "request id");
    if (result.outcome == submit_result::status::not_accepted)
        return sendNotLeader(response, result.leader);
    const wire::edit_outcome &outcome = result.applied.edit();
    Object object;
    object.set("status", statusName(outcome.status()));
    object.set("message", outcome.message());
    if (outcome.revision() != 0)
        object.set("revision", outcome.revision());
    if (outcome.version() != 0)
        object.set("version", outcome.version());
    if (!outcome.drain_id().empty())
        object.set("drain_id", outcome.drain_id());
    object.set("repeated", outcome.repeated());
    if (outcome.has_winner())
        object.set("winner", versionObject(outcome.winner()));
    sendJson(response, httpStatus(outcome.status()), object);
}

void admin_server::addMembers(Object &status) const
{
    replica::membership_view group;
    if (m_members)
        group = m_members->membership();
    const role_view view = m_log.view();
    std::map<replica_id, const member_status *> known;
    for (const member_status &member : group.members)
        known[member.id] = &member;
    Array::Ptr list = new Array;
    const auto add = [&](replica_id id, const control_member *settings) {
        Object::Ptr object = new Object;
        object->set("id", id);
        object->set("http", settings ? settings->httpAddress : std::string());
        object->set("grpc", settings ? settings->grpcAddress : std::string());
        object->set("is_leader", view.isConnected && view.leader == id);
        const auto found = known.find(id);
        object->set("role",
                    std::string(found == known.end()       ? "none"
                                    : found->second->voter ? "voter"
                                                           : "learner"));
        if (found != known.end()) {
            object->set("incarnation", fmt::format("{:016x}", found->second->incarnation));
            // Only the leader knows the replication progress of the other members.
            if (view.isLeader) {
                object->set("match", found->second->match);
                object->set("recently_heard", found->second->recentlyHeard);
            }
        }
        list->add(object);
    };
    for (const control_member &member : m_settings.members)
        add(member.id, &member);
    for (const auto &[id, member] : known)
        if (!m_settings.findMember(id))
            add(id, nullptr);
    status.set("members", list);
    if (!group.failure.empty())
        status.set("failure", group.failure);
}

void admin_server::addInstances(Object &status, bool isConfirmedLeader)
{
    const steady_time now = m_clock.now();
    Array::Ptr instances = new Array;
    // Only the leader receives reports, so the registry of any other instance is out of date.
    if (isConfirmedLeader) {
        m_registry.beginTerm(m_log.view().term, m_state.instances(), now);
        for (const instance_status &instance : m_registry.list(now)) {
            Object::Ptr object = new Object;
            object->set("name", instance.name);
            object->set("state", std::string(toString(instance.state)));
            object->set("incarnation", instance.incarnation);
            object->set("revision", instance.revision);
            object->set("address", instance.address);
            object->set("region", instance.region);
            object->set("failure_domain", instance.failureDomain);
            object->set("load", instance.load);
            instances->add(object);
        }
        const auto inForce = m_registry.inForce(m_state.revision(), now);
        status.set("in_force_revision", inForce.revision);
        Array::Ptr behind = new Array;
        for (const std::string &name : inForce.behind)
            behind->add(name);
        status.set("behind", behind);
    }
    status.set("instances", instances);
}

void admin_server::getStatus(HTTPServerRequest &, HTTPServerResponse &response, const std::string &,
                             const request_target &)
{
    const role_view view = m_log.view();
    const auto confirmed = m_confirmed.read();
    // After the process was paused, the view is stale until the replica's thread has run. Only a
    // recent confirmation proves that this instance is the leader.
    const bool isConfirmedLeader = view.isLeader && confirmed && confirmed->term == view.term
        && m_clock.now() - confirmed->at <= allocation_service::maxConfirmationAge;
    Object::Ptr replica = new Object;
    replica->set("id", view.self);
    replica->set("leader", view.leader);
    replica->set("term", view.term);
    replica->set("commit", view.commitIndex);
    replica->set("applied", view.appliedIndex);
    replica->set("is_leader", view.isLeader);
    replica->set("is_voter", view.isVoter);
    replica->set("connected", view.isConnected && (!view.isLeader || isConfirmedLeader));
    if (confirmed) {
        replica->set("confirmed_revision", confirmed->revision);
        replica->set(
            "confirmed_age_ms",
            std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - confirmed->at).count());
    }
    Object object;
    object.set("replica", replica);
    object.set("revision", m_state.revision());
    addMembers(object);
    addInstances(object, isConfirmedLeader);
    sendJson(response, HTTPServerResponse::HTTP_OK, object);
}

void admin_server::getReadiness(HTTPServerRequest &, HTTPServerResponse &response,
                                const std::string &, const request_target &)
{
    const bool ready = m_log.view().isConnected;
    sendBody(response, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no leader is known\n");
}

} // namespace buckthorngrade
