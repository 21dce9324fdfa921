#include "platform/instance_list.h"

#include "base/utf8.h"
#include "control/control_state.h"
#include "net/http_client.h"
#include "platform/json_members.h"
#include "platform/json_values.h"
#include "platform/wire_names.h"

#include <Poco/URI.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds callTimeout{1'600}; // includes opening a connection
constexpr int maxPages = 400; // of one failure domain, or of the unfiltered list
constexpr std::uint64_t maxPageBytes = 4U << 20;
constexpr int ok = 200;
// Replaces bytes that are not ASCII. Entries that contain it are skipped.
constexpr char nonAsciiPlaceholder = '\x7f';

// Maximum nesting depth of an entry. Documented entries have a depth of 1.
constexpr std::size_t maxEntryDepth = 16;

std::optional<listed_upstream> parseEntry(const json_member &member)
{
    if (member.depth > maxEntryDepth)
        return std::nullopt;
    std::set<std::string> repeatedNames;
    const json entry = parseJson(member.value, repeatedNames);
    if (!entry.is_object() || !repeatedNames.empty())
        return std::nullopt;
    try {
        listed_upstream result;
        result.id = member.name;
        result.service = stringField(entry, "service", "");
        result.address = stringField(entry, "address", "");
        result.failureDomain = stringField(entry, "zone", "");
        const std::string state = stringField(entry, "state", "");
        const double slots = numberField(entry, "slots", 0);
        result.coldFor = durationField(entry, "cold_remaining", std::chrono::milliseconds(0));
        result.startedMs = integerField(entry, "born", 0);
        result.isDraining = state == "draining";
        constexpr double maxSlots = 1e6;
        const bool hasValidText = std::ranges::all_of(
            std::initializer_list<std::string_view>{result.id, result.service, result.address,
                                                    result.failureDomain},
            [](std::string_view text) { return !text.empty() && isVisibleAscii(text); });
        if (!hasValidText || (state != "ready" && state != "draining") || slots < 1
            || slots > maxSlots)
            return std::nullopt;
        if (socket_address::parse(result.address).port == 0)
            return std::nullopt;
        result.slots = static_cast<std::uint32_t>(slots);
        return result;
    } catch (const settings_error &) {
        return std::nullopt; // written by another program in another format
    } catch (const net_error &) {
        return std::nullopt;
    }
}

// Keeps one entry of each id. Of several different ones, the last counts, as for other readers of
// JSON, unless another says that the upstream drains: it must get no further requests then.
// `upstreams` must be sorted by id, in the order of the page. Returns the number of entries left
// out.
std::size_t removeRepeatedIds(std::vector<listed_upstream> &upstreams)
{
    const std::size_t before = upstreams.size();
    std::vector<listed_upstream> kept;
    for (listed_upstream &upstream : upstreams) {
        if (kept.empty() || kept.back().id != upstream.id)
            kept.push_back(std::move(upstream));
        else if (!kept.back().isDraining)
            kept.back() = std::move(upstream);
    }
    upstreams = std::move(kept);
    return before - upstreams.size();
}

// Returns the member of this name, or null if there is none. Throws control_error if it is given
// twice: which of the values counts would decide which upstreams seem to be gone.
const json_member *findOnce(const std::vector<json_member> &members, std::string_view name)
{
    if (std::ranges::count(members, name, &json_member::name) > 1)
        throw control_error(fmt::format("the page of the list has '{}' twice", name));
    const auto found = std::ranges::find(members, name, &json_member::name);
    return found == members.end() ? nullptr : &*found;
}

// Returns the token of the next page, or an empty string on the last page. Throws control_error if
// the token can't be read: the upstreams of the further pages would seem to be gone.
std::string parseToken(const json_member &member)
{
    const json token = member.depth == 0 ? json::parse(member.value, nullptr, false) : json();
    if (member.depth == 0 && token.is_null())
        return {};
    if (!token.is_string()
        || token.get_ref<const std::string &>().find(nonAsciiPlaceholder) != std::string::npos)
        throw control_error("the page of the list has an unreadable 'next_token'");
    return token.get<std::string>();
}

std::string percentEncoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "&=+?#", result);
    return result;
}

// Reads the pages of one failure domain, or of the unfiltered list, sequentially.
class page_sequence_reader
{
public:
    // An empty `domain` selects the unfiltered list. `onFinished` is called once, with the reason
    // of the failure, or with an empty string on success. All references must outlive this object.
    page_sequence_reader(event_loop &loop, const socket_address &address, const clock_source &clock,
                         std::string domain, const listing_source::page_handler &onPage,
                         std::size_t &skippedEntries, response_budget &budget,
                         std::function<void(const std::string &)> onFinished)
        : m_loop(loop)
        , m_address(address)
        , m_clock(clock)
        , m_domain(std::move(domain))
        , m_onPage(onPage)
        , m_skippedEntries(skippedEntries)
        , m_budget(budget)
        , m_onFinished(std::move(onFinished))
    {
        requestPage();
    }

private:
    void requestPage()
    {
        if (!m_client || !m_client->isReusable())
            m_client = std::make_unique<http_client>(m_loop, m_address, maxPageBytes, m_budget);
        m_requestedAt = m_clock.now();
        m_timer = m_loop.runAfter(callTimeout, [this] { finish("the request timed out"); });
        http_client::call call;
        call.request
            = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target(), m_address.toString());
        call.onResponse = [this](const client_response &response) { handlePage(response); };
        call.onFailure = [this](call_failure) { finish("the connection failed"); };
        m_client->start(std::move(call));
    }

    std::string target() const
    {
        std::string result = platform_wire::instancesPath;
        char separator = '?';
        for (const auto &[name, value] :
             {std::pair("zone", m_domain), std::pair("page_token", m_nextToken)}) {
            if (value.empty())
                continue;
            result += fmt::format("{}{}={}", separator, name, percentEncoded(value));
            separator = '&';
        }
        return result;
    }

    void handlePage(const client_response &response)
    {
        m_loop.cancel(m_timer);
        if (response.head.status != ok)
            return finish(fmt::format("the server returned status {}", response.head.status));
        try {
            instance_page page = parseInstancePage(response.body);
            m_skippedEntries += page.skippedEntries;
            m_onPage({m_requestedAt, std::move(page.upstreams)});
            m_nextToken = page.nextToken;
        } catch (const control_error &failure) {
            return finish(failure.what());
        }
        if (m_nextToken.empty())
            return finish("");
        if (++m_pages == maxPages)
            return finish("the list has too many pages");
        // The next request may replace the client, which must not be destroyed in its own callback.
        m_loop.post([this] { requestPage(); });
    }

    void finish(const std::string &failure)
    {
        m_loop.cancel(m_timer);
        m_onFinished(failure);
    }

    event_loop &m_loop;
    const socket_address &m_address;
    const clock_source &m_clock;
    const std::string m_domain;
    const listing_source::page_handler &m_onPage;
    std::size_t &m_skippedEntries; // shared by all readers
    response_budget &m_budget; // shared by all readers
    const std::function<void(const std::string &)> m_onFinished;
    std::unique_ptr<http_client> m_client;
    event_loop::timer_id m_timer = 0;
    steady_time m_requestedAt{};
    std::string m_nextToken;
    int m_pages = 0;
};

} // namespace

instance_page parseInstancePage(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, nonAsciiPlaceholder);
    const auto page = splitJsonObject(text);
    if (!page)
        throw control_error("the list of instances is malformed");
    const json_member *list = findOnce(*page, "instances");
    const auto entries = list == nullptr ? std::nullopt : splitJsonObject(list->value);
    if (!entries)
        throw control_error("the list of instances is malformed");
    instance_page result;
    for (const json_member &entry : *entries) {
        if (auto upstream = parseEntry(entry))
            result.upstreams.push_back(std::move(*upstream));
        else
            ++result.skippedEntries;
    }
    std::ranges::stable_sort(result.upstreams, {}, &listed_upstream::id);
    result.skippedEntries += removeRepeatedIds(result.upstreams);
    if (const json_member *token = findOnce(*page, "next_token"))
        result.nextToken = parseToken(*token);
    return result;
}

instance_list::instance_list(const std::string &address, const clock_source &clock,
                             event_log &events)
    : m_address(socket_address::parse(address))
    , m_clock(clock)
    , m_events(events)
{ }

void instance_list::read(const std::vector<std::string> &domains, const page_handler &onPage)
{
    event_loop loop;
    std::size_t remainingReaders = std::max<std::size_t>(domains.size(), 1);
    std::size_t skippedEntries = 0;
    std::string failure;
    const auto onFinished = [&](const std::string &why) {
        if (!why.empty())
            failure = why;
        if (--remainingReaders == 0 || !why.empty())
            loop.stop();
    };
    response_budget budget(maxPageBytes * remainingReaders);
    try {
        std::vector<std::unique_ptr<page_sequence_reader>> readers;
        const auto addReader = [&](const std::string &domain) {
            readers.push_back(std::make_unique<page_sequence_reader>(
                loop, m_address, m_clock, domain, onPage, skippedEntries, budget, onFinished));
        };
        if (domains.empty())
            addReader("");
        else
            std::ranges::for_each(domains, addReader);
        loop.run();
    } catch (const net_error &error) {
        failure = error.what();
    }
    if (!failure.empty())
        throw control_error(fmt::format("the list of instances can't be read: {}", failure));
    if (skippedEntries != m_skippedEntries)
        m_events.write(event_id::listing_entries_left_out,
                       {{"before", m_skippedEntries}, {"entries", skippedEntries}});
    m_skippedEntries = skippedEntries;
}

} // namespace buckthorngrade
