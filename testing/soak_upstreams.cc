#include "testing/soak_upstreams.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds work{20};
constexpr std::chrono::milliseconds slowWork{600};
constexpr int failed = 500;
constexpr int ok = 200;
constexpr int misdirected = 421;
constexpr int unavailable = 503;

} // namespace

soak_upstreams::soak_upstreams(soak_record &record, const std::string &listAddress,
                               std::size_t count, const std::vector<std::string> &domains,
                               std::uint64_t seed)
    : m_record(record)
{
    for (std::size_t i = 0; i < count; ++i) {
        upstream &added = *m_upstreams.emplace_back(std::make_unique<upstream>());
        added.id = fmt::format("i-{}-0", i);
        added.domain = domains[i % domains.size()];
        added.server = std::make_unique<http_server>(
            m_thread.loop(), socket_address{"127.0.0.1", 0}, http_server_options(),
            [this, &added](const exchange_pointer &exchange) { handle(added, exchange); });
        added.proxy = std::make_unique<fault_proxy>("127.0.0.1:0",
                                                    added.server->address().toString(), seed + i);
    }
    m_list = std::make_unique<http_server>(
        m_thread.loop(), socket_address::parse(listAddress), http_server_options(),
        [this](const exchange_pointer &exchange) {
            exchange->respond(ok, {{"Content-Type", "application/json"}}, list());
        });
    m_thread.start();
}

soak_upstreams::~soak_upstreams()
{
    m_thread.stop();
}

std::string soak_upstreams::list() const
{
    nlohmann::json instances = nlohmann::json::object();
    for (const auto &item : m_upstreams)
        instances[item->id] = {{"service", "s"},
                               {"address", item->proxy->address()},
                               {"zone", item->domain},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", item->isDraining ? "draining" : "ready"},
                               {"cold_remaining", "0ms"},
                               {"born", 1'000 + item->lifetime}};
    return nlohmann::json{{"instances", instances}, {"next_token", nullptr}}.dump();
}

void soak_upstreams::handle(upstream &at, const exchange_pointer &exchange)
{
    const std::string id = exchange->head.get("X-Buckthorngrade-Request-Id");
    http_fields fields = {{"X-Buckthorngrade-Request-Id", id}};
    if (exchange->head.get("X-Buckthorngrade-Expect-Instance") != at.id) {
        fields.emplace_back("X-Buckthorngrade-Instance-Id", at.id);
        exchange->respond(misdirected, fields, "");
        return;
    }
    ++at.arrivals;
    const habit now = at.habits;
    if (now == habit::silent)
        return;
    if (now == habit::refusing) {
        fields.emplace_back("X-Buckthorngrade-Not-Executed", "1");
        exchange->respond(unavailable, fields, "");
        return;
    }
    m_record.ran(id, exchange->head.method != "GET");
    fields.emplace_back("X-Buckthorngrade-Server-Seal", "seal-" + id);
    fields.emplace_back("X-Buckthorngrade-Server-Load", "1,0,8");
    m_thread.loop().runAfter(now == habit::slow ? slowWork : work, [exchange, fields, now, id] {
        if (now == habit::losing_answers)
            exchange->abort();
        else
            exchange->respond(now == habit::failing ? failed : ok, fields, soakBody(id));
    });
}

void soak_upstreams::setDraining(std::size_t index, bool isDraining)
{
    m_thread.call([&] { m_upstreams[index]->isDraining = isDraining; });
}

void soak_upstreams::replace(std::size_t index)
{
    m_thread.call([&] {
        upstream &at = *m_upstreams[index];
        at.id = fmt::format("i-{}-{}", index, ++at.lifetime);
    });
}

void soak_upstreams::heal()
{
    for (const auto &item : m_upstreams) {
        item->habits = habit::sound;
        item->proxy->heal();
    }
}

} // namespace buckthorngrade
