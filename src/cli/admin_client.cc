#include "cli/admin_client.h"

#include "cli/cli_error.h"
#include "cli/common_flags.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <future>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace buckthorngrade {

namespace {

using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

// Limits the time spent on an instance that does not respond because of a network partition, so
// that the others can be tried. Long enough for a commit, which takes at most four one-way delays
// of 55 ms, and for an election, which takes up to 3 s.
constexpr std::chrono::milliseconds attemptTimeout = 4s;
constexpr std::chrono::milliseconds retryInterval = 200ms;
constexpr std::size_t maxHeaderBytes = 1024;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr int statusOutcomeUnknown = 504; // for an edit: it may have been accepted

constexpr std::string_view unreachableAdvice
    = "What to do next: check that the control instances run ('/healthz' on the addresses above), "
      "that this machine\ncan reach them, and that --control or --config names their HTTP "
      "addresses. Traffic continues without them.";

std::string newRequestId()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::random_device device;
    const std::uint64_t random = (std::uint64_t{device()} << 32U) | device();
    return fmt::format("{}-{:016x}", now.count(), random);
}

void checkHeader(const std::string &flag, const std::string &value)
{
    const bool isPlain = std::ranges::none_of(
        value, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; });
    if (value.empty() || value.size() > maxHeaderBytes || !isPlain)
        throw usage_error(
            fmt::format("--{} is required: one line of at most {} bytes", flag, maxHeaderBytes));
}

} // namespace

edit_headers editHeadersFromFlags()
{
    edit_headers headers{FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id,
                         FLAGS_operator, FLAGS_reason};
    if (const char *user = std::getenv("USER"); headers.operatorName.empty() && user)
        headers.operatorName = user;
    checkHeader("operator", headers.operatorName);
    checkHeader("reason", headers.reason);
    checkHeader("request_id", headers.requestId);
    fmt::print(stderr, "request id {}\n", headers.requestId);
    return headers;
}

admin_client::admin_client(std::vector<std::string> addresses, std::chrono::milliseconds timeout)
    : m_addresses(std::move(addresses))
    , m_timeout(timeout)
{ }

http_reply admin_client::get(const std::string &path)
{
    return call("GET", path, {}, "");
}

http_reply admin_client::edit(const std::string &method, const std::string &path,
                              const edit_headers &headers, const std::string &body)
{
    try {
        return call(method, path,
                    {{"Request-Id", headers.requestId},
                     {"Operator", headers.operatorName},
                     {"Reason", headers.reason}},
                    body);
    } catch (const unreachable_error &failure) {
        throw unreachable_error(fmt::format(
            "{}\nThe change may have been accepted. To learn its outcome, or to send it again "
            "without applying it twice,\nrun the same command with --request_id={}",
            failure.what(), headers.requestId));
    }
}

http_reply admin_client::call(const std::string &method, const std::string &path,
                              const std::map<std::string, std::string> &headers,
                              const std::string &body)
{
    const auto end = steady::now() + m_timeout;
    std::map<std::string, std::string> failures;
    while (true) {
        std::deque<std::string> pending(m_addresses.begin(), m_addresses.end());
        std::set<std::string> tried;
        while (!pending.empty()) {
            const std::string address = pending.front();
            pending.pop_front();
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady::now());
            if (left <= 0ms || !tried.insert(address).second)
                continue;
            try {
                http_reply reply = callHttp(address, method, path, headers, body,
                                            std::min(left, attemptTimeout));
                if (reply.head.status != statusMisdirected && reply.head.status != statusUnavailable
                    && reply.head.status != statusOutcomeUnknown)
                    return reply;
                const std::string leader = reply.head.get("Leader");
                failures[address] = leader.empty()
                    ? fmt::format("returned status {}: {}", reply.head.status, reply.body)
                    : "not the leader; it names the leader as " + leader;
                if (!leader.empty())
                    pending.push_front(leader);
            } catch (const http_call_error &failure) {
                failures[address] = failure.what();
            }
        }
        if (steady::now() + retryInterval >= end)
            break;
        std::this_thread::sleep_for(retryInterval); // retry delay
    }
    std::string text = fmt::format("no control instance returned a final response within {}ms:\n",
                                   m_timeout.count());
    for (const auto &[address, failure] : failures)
        text += fmt::format("  {}: {}\n", address, failure);
    throw unreachable_error(text + std::string(unreachableAdvice));
}

Poco::JSON::Object::Ptr control_group_status::leader() const
{
    for (const member &each : members) {
        if (!each.status)
            continue;
        const auto replica = each.status->getObject("replica");
        if (replica && replica->optValue("is_leader", false)
            && replica->optValue("connected", false))
            return each.status;
    }
    return nullptr;
}

// Returns the addresses of control instances that the responses list but that were not queried.
static std::vector<std::string> unqueriedMembers(const control_group_status &view)
{
    std::set<std::string> queried;
    for (const control_group_status::member &member : view.members)
        queried.insert(member.address);
    std::vector<std::string> others;
    for (const control_group_status::member &member : view.members) {
        const auto list = member.status ? member.status->getArray("members") : nullptr;
        for (unsigned i = 0; list && i < list->size(); ++i) {
            const auto item = list->getObject(i);
            const std::string address = item ? item->optValue<std::string>("http", "") : "";
            if (!address.empty() && queried.insert(address).second)
                others.push_back(address);
        }
    }
    return others;
}

control_group_status readControlGroupStatus(const std::vector<std::string> &addresses,
                                            std::chrono::milliseconds timeout)
{
    const auto queryMember = [timeout](const std::string &address) {
        control_group_status::member member{address, nullptr, ""};
        try {
            const http_reply reply
                = callHttp(address, "GET", "/v1/status", {}, "", std::min(timeout, attemptTimeout));
            member.status = parseReply(reply);
        } catch (const error &failure) {
            member.failure = failure.what();
        }
        return member;
    };
    control_group_status view;
    const auto queryAll = [&](const std::vector<std::string> &queried) {
        std::vector<std::future<control_group_status::member>> replies;
        replies.reserve(queried.size());
        for (const std::string &address : queried)
            replies.push_back(std::async(std::launch::async, queryMember, address));
        for (auto &each : replies)
            view.members.push_back(each.get());
    };
    queryAll(addresses);
    // If --control names only some members, the leader may be one that their responses list.
    if (!view.leader())
        queryAll(unqueriedMembers(view));
    return view;
}

Poco::JSON::Object::Ptr parseReply(const http_reply &reply)
{
    try {
        return Poco::JSON::Parser().parse(reply.body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        throw unreachable_error(fmt::format("{} answered {} with a body that is not a JSON object",
                                            reply.address, reply.head.status));
    }
}

} // namespace buckthorngrade
