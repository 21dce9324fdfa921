#include "platform/instance_list.h"

#include "base/utf8.h"
#include "control/control_state.h"
#include "platform/json_values.h"
#include "platform/wire_names.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <algorithm>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::json;

constexpr long requestTimeoutUs = 800'000; // of each step of a call
constexpr int maxPages = 400;
// Stands for bytes that are not ASCII; entries that contain it are left out.
constexpr char unreadable = '\x7f';

std::optional<listed_upstream> parseEntry(const std::string &id, const json &entry)
{
    if (!entry.is_object())
        return std::nullopt;
    try {
        listed_upstream result;
        result.id = id;
        result.service = textField(entry, "service", "");
        result.address = textField(entry, "address", "");
        result.failureDomain = textField(entry, "zone", "");
        const std::string state = textField(entry, "state", "");
        const double slots = numberField(entry, "slots", 0);
        result.coldFor = timeField(entry, "cold_remaining", std::chrono::milliseconds(0));
        result.startedMs = static_cast<std::int64_t>(numberField(entry, "born", 0));
        result.isDraining = state == "draining";
        constexpr double mostSlots = 1e6;
        const bool isReadable = std::ranges::all_of(
            std::initializer_list<std::string_view>{id, result.service, result.address,
                                                    result.failureDomain},
            [](std::string_view text) { return !text.empty() && isVisibleAscii(text); });
        if (!isReadable || (state != "ready" && state != "draining") || slots < 1
            || slots > mostSlots)
            return std::nullopt;
        socket_address::parse(result.address);
        result.slots = static_cast<std::uint32_t>(slots);
        return result;
    } catch (const settings_error &) {
        return std::nullopt; // of another writer
    } catch (const net_error &) {
        return std::nullopt;
    }
}

} // namespace

instance_page parseInstancePage(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, unreadable);
    const json page = json::parse(text, nullptr, false);
    if (!page.is_object() || !page.contains("instances") || !page.at("instances").is_object())
        throw control_error("the list of instances is malformed");
    instance_page result;
    for (const auto &[id, entry] : page.at("instances").items())
        if (auto upstream = parseEntry(id, entry))
            result.upstreams.push_back(std::move(*upstream));
    if (const auto next = page.find("next_token"); next != page.end() && next->is_string())
        result.next = next->get<std::string>();
    return result;
}

instance_list::instance_list(const std::string &address, const clock_source &clock)
    : m_address(socket_address::parse(address))
    , m_clock(clock)
{ }

void instance_list::read(const std::function<void(const upstream_listing &page)> &onPage)
{
    std::string token;
    try {
        Poco::Net::HTTPClientSession session(m_address.host, m_address.port);
        session.setTimeout(Poco::Timespan(requestTimeoutUs));
        session.setKeepAlive(true);
        for (int i = 0; i < maxPages; ++i) {
            std::string target = platform_wire::instancesPath;
            if (!token.empty()) {
                std::string encoded;
                Poco::URI::encode(token, "&=+?#", encoded);
                target += "?page_token=" + encoded;
            }
            upstream_listing result;
            result.readAt = m_clock.now();
            Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, target,
                                           Poco::Net::HTTPRequest::HTTP_1_1);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::istream &body = session.receiveResponse(response);
            std::string text;
            Poco::StreamCopier::copyToString(body, text);
            if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
                throw control_error(fmt::format("the list of instances answered {}",
                                                static_cast<int>(response.getStatus())));
            instance_page page = parseInstancePage(std::move(text));
            result.upstreams = std::move(page.upstreams);
            onPage(result);
            token = page.next;
            if (token.empty())
                break;
        }
    } catch (const Poco::Exception &failure) {
        throw control_error(
            fmt::format("the list of instances can't be read: {}", failure.displayText()));
    }
}

} // namespace buckthorngrade
