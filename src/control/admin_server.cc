#include "control/admin_server.h"

#include "model/drain.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace buckthorngrade {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t maxBodyBytes = 128 * 1024;
constexpr const char *jsonType = "application/json";

// The request can't be understood.
class bad_request : public control_error
{
public:
    using control_error::control_error;
};

std::string toText(const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str() + "\n";
}

void sendJson(HTTPServerResponse &response, int status, const Object &object)
{
    sendBody(response, status, jsonType, toText(object));
}

void sendProblem(HTTPServerResponse &response, int status, const std::string &code,
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
    std::string body(maxBodyBytes + 1, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > maxBodyBytes)
        throw bad_request(fmt::format("the body is larger than {} bytes", maxBodyBytes));
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

wire::edit editFrom(const HTTPServerRequest &request)
{
    wire::edit edit;
    edit.set_request_id(request.get("Request-Id", ""));
    edit.set_operator_name(request.get("Operator", ""));
    edit.set_reason(request.get("Reason", ""));
    if (edit.request_id().empty())
        throw bad_request("the header Request-Id is missing");
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

std::string statusWord(wire::edit_status status)
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
    wire::edit edit = editFrom(request);
    try {
        const auto object = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
        wire::announce_drain *drain = edit.mutable_drain();
        const auto kind = drainTargetFromString(object->getValue<std::string>("kind"));
        drain->set_kind(
            static_cast<wire::target_kind>(static_cast<int>(kind) + wire::TARGET_UPSTREAM));
        drain->set_target(object->getValue<std::string>("target"));
        drain->set_start_ms(object->optValue<std::int64_t>("start", 0));
        drain->set_end_ms(object->optValue<std::int64_t>("end", 0));
    } catch (const Poco::Exception &failure) {
        throw bad_request("the body must be a JSON object with kind and target: "
                          + failure.displayText());
    } catch (const settings_error &failure) {
        throw bad_request(failure.what());
    }
    return edit;
}

} // namespace

admin_server::admin_server(const settings &config, const control_state &state, edit_service &edits,
                           const replicator &log, const instance_registry &registry,
                           const clock_source &clock, const metric_registry &metrics,
                           const json_tracer &tracer)
    : m_settings(config)
    , m_state(state)
    , m_edits(edits)
    , m_log(log)
    , m_registry(registry)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void admin_server::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const auto span = m_tracer.startFromHeader("control.admin", request.get("traceparent", ""));
    span->SetTag("http.method", request.getMethod());
    try {
        const Poco::URI uri(request.getURI());
        target asked;
        asked.path = uri.getPath();
        for (const auto &[key, value] : uri.getQueryParameters())
            asked.query[key] = value;
        span->SetTag("http.path", asked.path);
        route(request, response, asked);
    } catch (const bad_request &failure) {
        sendProblem(response, 400, "bad-request", failure.what());
    } catch (const Poco::SyntaxException &failure) {
        sendProblem(response, 400, "bad-request", failure.displayText());
    }
    span->SetTag("http.status", static_cast<int>(response.getStatus()));
}

void admin_server::route(HTTPServerRequest &request, HTTPServerResponse &response,
                         const target &asked)
{
    constexpr std::string_view profilePrefix = "/v1/profiles/";
    constexpr std::string_view drainPrefix = "/v1/drains/";
    constexpr std::string_view historySuffix = "/history";
    const std::string &method = request.getMethod();
    const std::string &path = asked.path;
    if (path == "/healthz" && method == "GET")
        return sendBody(response, 200, "text/plain", "ok\n");
    if (path == "/readyz" && method == "GET")
        return getReadiness(response);
    if (path == "/metrics" && method == "GET")
        return sendBody(response, 200, "text/plain; version=0.0.4", m_metrics.render());
    if (path == "/v1/status" && method == "GET")
        return getStatus(response);
    if (path == "/v1/profiles" && method == "GET")
        return listProfiles(response);
    if (path == "/v1/drains" && method == "GET")
        return listDrains(response);
    if (path == "/v1/drains" && method == "POST")
        return announceDrain(request, response);
    if (path.starts_with(drainPrefix) && method == "DELETE")
        return cancelDrain(request, response, path.substr(drainPrefix.size()));
    if (path.starts_with(profilePrefix) && method == "GET") {
        const std::string name = path.substr(profilePrefix.size());
        if (name.ends_with(historySuffix))
            return getHistory(response, name.substr(0, name.size() - historySuffix.size()));
        return getProfile(response, name, asked);
    }
    if (path.starts_with(profilePrefix) && method == "PUT")
        return putProfile(request, response, path.substr(profilePrefix.size()), asked);
    sendProblem(response, 404, "not-found", fmt::format("no such path: {} {}", method, path));
}

void admin_server::listProfiles(HTTPServerResponse &response)
{
    Array::Ptr list = new Array;
    for (const auto &version : m_state.profiles())
        list->add(versionObject(version));
    Object object;
    object.set("profiles", list);
    sendJson(response, 200, object);
}

void admin_server::getProfile(HTTPServerResponse &response, const std::string &name,
                              const target &asked)
{
    const auto version = m_state.findProfile(name, queryNumber(asked.query, "version"));
    if (!version)
        return sendProblem(response, 404, "not-found",
                           fmt::format("no such profile or version: {}", name));
    response.set("Profile-Version", std::to_string(version->version()));
    response.set("Revision", std::to_string(version->revision()));
    sendBody(response, 200, "application/yaml", version->yaml());
}

void admin_server::getHistory(HTTPServerResponse &response, const std::string &name)
{
    const auto versions = m_state.history(name);
    if (versions.empty())
        return sendProblem(response, 404, "not-found", fmt::format("no such profile: {}", name));
    Array::Ptr list = new Array;
    for (const auto &version : versions)
        list->add(versionObject(version));
    Object object;
    object.set("versions", list);
    sendJson(response, 200, object);
}

void admin_server::putProfile(HTTPServerRequest &request, HTTPServerResponse &response,
                              const std::string &name, const target &asked)
{
    wire::edit edit = editFrom(request);
    if (!asked.query.contains("base_version"))
        throw bad_request("base_version is missing; use 0 for a new profile");
    edit.mutable_put()->set_name(name);
    edit.mutable_put()->set_base_version(queryNumber(asked.query, "base_version"));
    edit.mutable_put()->set_yaml(readBody(request));
    answerEdit(response, edit);
}

void admin_server::listDrains(HTTPServerResponse &response)
{
    Array::Ptr list = new Array;
    for (const auto &drain : m_state.drains())
        list->add(drainObject(drain));
    Object object;
    object.set("drains", list);
    sendJson(response, 200, object);
}

void admin_server::announceDrain(HTTPServerRequest &request, HTTPServerResponse &response)
{
    answerEdit(response, drainEdit(request, readBody(request)));
}

void admin_server::cancelDrain(HTTPServerRequest &request, HTTPServerResponse &response,
                               const std::string &id)
{
    wire::edit edit = editFrom(request);
    edit.mutable_cancel()->set_id(id);
    answerEdit(response, edit);
}

void admin_server::answerEdit(HTTPServerResponse &response, const wire::edit &edit)
{
    const command_result result = m_edits.submitEdit(edit);
    if (result.outcome == submit_result::status::unknown)
        return sendProblem(response, 504, "unknown",
                           "it is not known whether the edit was accepted; resend it with the same "
                           "request id");
    if (result.outcome == submit_result::status::not_accepted) {
        if (const control_member *leader = m_settings.findMember(result.leader)) {
            response.set("Leader", leader->httpAddress);
            return sendProblem(response, 421, "not-leader", "send the edit to the leader");
        }
        return sendProblem(response, 503, "unavailable",
                           "the control group has no leader now; the edit was not accepted");
    }
    const wire::edit_outcome &outcome = result.applied.edit();
    Object object;
    object.set("status", statusWord(outcome.status()));
    object.set("message", outcome.message());
    object.set("revision", outcome.revision());
    object.set("version", outcome.version());
    object.set("drain_id", outcome.drain_id());
    object.set("repeated", outcome.repeated());
    if (outcome.has_winner())
        object.set("winner", versionObject(outcome.winner()));
    sendJson(response, httpStatus(outcome.status()), object);
}

void admin_server::getStatus(HTTPServerResponse &response)
{
    const role_view view = m_log.view();
    Object replica;
    replica.set("id", view.self);
    replica.set("leader", view.leader);
    replica.set("term", view.term);
    replica.set("commit", view.commitIndex);
    replica.set("applied", view.appliedIndex);
    replica.set("is_leader", view.isLeader);
    replica.set("connected", view.isConnected);
    Array members;
    for (const control_member &member : m_settings.members) {
        Object::Ptr object = new Object;
        object->set("id", member.id);
        object->set("http", member.httpAddress);
        object->set("grpc", member.grpcAddress);
        members.add(object);
    }
    Array instances;
    for (const instance_status &status : m_registry.list(m_clock.now())) {
        Object::Ptr object = new Object;
        object->set("name", status.name);
        object->set("state", std::string(toString(status.state)));
        object->set("revision", status.revision);
        object->set("address", status.address);
        object->set("region", status.region);
        object->set("failure_domain", status.failureDomain);
        object->set("load", status.load);
        instances.add(object);
    }
    Object object;
    object.set("replica", replica);
    object.set("revision", m_state.revision());
    object.set("members", members);
    object.set("instances", instances);
    sendJson(response, 200, object);
}

void admin_server::getReadiness(HTTPServerResponse &response)
{
    const bool ready = m_log.view().isConnected;
    sendBody(response, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no leader is known\n");
}

} // namespace buckthorngrade
