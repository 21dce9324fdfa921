#include "platform/control_api.h"

#include "base/ipv4.h"
#include "platform/wire_names.h"
#include "steering/entry_directory.h"

#include <nlohmann/json.hpp>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int ok = 200;
constexpr int temporaryRedirect = 307;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr std::size_t maxAddresses = 64; // callers use no more from one response

const http_fields jsonFields = {{"Content-Type", "application/json"}};

void respondWithError(const exchange_pointer &exchange, int status, const std::string &reason)
{
    // The reason may quote invalid UTF-8 from an operator's request.
    const nlohmann::json body = {{"error", reason}};
    exchange->respond(status, jsonFields,
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

control_api::control_api(event_loop &loop, const node_settings &settings, control_node &node,
                         const clock_source &clock)
    : m_loop(loop)
    , m_settings(settings)
    , m_node(node)
    , m_clock(clock)
{ }

void control_api::respond(const exchange_pointer &exchange, routing_result::status outcome,
                          replica_id leader, const std::string &text) const
{
    switch (outcome) {
    case routing_result::status::accepted:
        exchange->respond(ok, jsonFields, text);
        return;
    case routing_result::status::invalid:
        respondWithError(exchange, badRequest, text);
        return;
    case routing_result::status::not_leader:
        exchange->respond(temporaryRedirect,
                          {{"Location",
                            fmt::format("http://{}:{}{}", ipv4ToString(leader),
                                        m_settings.controlPort, exchange->head.target)}},
                          "");
        return;
    case routing_result::status::unavailable:
        respondWithError(exchange, unavailable, text);
        return;
    }
}

void control_api::enqueueCommand(const exchange_pointer &exchange,
                                 std::function<routing_result()> command)
{
    const bool isQueued = m_commands.tryPush([this, exchange, command = std::move(command)] {
        const routing_result result = command();
        m_loop.post([this, exchange, result] {
            respond(exchange, result.outcome, result.leader,
                    result.outcome == routing_result::status::accepted ? "{}" : result.detail);
        });
    });
    if (!isQueued)
        respondWithError(exchange, unavailable, "too many orders wait");
}

void control_api::handleOperatorRequest(const exchange_pointer &exchange)
{
    const std::string &method = exchange->head.method;
    const std::string path = exchange->head.target.substr(0, exchange->head.target.find('?'));
    routing_service &routing = m_node.routing();
    if (path == platform_wire::configPath && method == "PUT") {
        enqueueCommand(exchange,
                       [&routing, exchange] { return routing.putRouting(exchange->body()); });
    } else if (path == platform_wire::configPath && method == "GET") {
        const bool isQueued = m_commands.tryPush([this, &routing, exchange] {
            const routing_read_result read = routing.read();
            m_loop.post([this, exchange, read] {
                respond(exchange, read.outcome, read.leader, read.text);
            });
        });
        if (!isQueued)
            respondWithError(exchange, unavailable, "too many orders wait");
    } else if (path.starts_with(platform_wire::evacuationsPath)
               && (method == "POST" || method == "DELETE")) {
        std::string domain;
        try {
            Poco::URI::decode(path.substr(std::string_view(platform_wire::evacuationsPath).size()),
                              domain);
        } catch (const Poco::SyntaxException &) {
            respondWithError(exchange, badRequest, "the path can't be decoded");
            return;
        }
        enqueueCommand(exchange, [&routing, domain, isStart = method == "POST"] {
            return routing.evacuate(domain, isStart);
        });
    } else {
        respondWithError(exchange, notFound, "no such call");
    }
}

void control_api::handleDirectoryLookup(const exchange_pointer &exchange) const
{
    std::string region;
    std::string domain;
    try {
        const Poco::URI target(exchange->head.target);
        if (target.getPath() != platform_wire::resolvePath) {
            respondWithError(exchange, notFound, "no such call");
            return;
        }
        for (const auto &[name, value] : target.getQueryParameters()) {
            if (name == "region")
                region = value;
            else if (name == "zone")
                domain = value;
        }
    } catch (const Poco::SyntaxException &) {
        respondWithError(exchange, badRequest, "the target can't be decoded");
        return;
    }
    std::vector<directory_entry> entries;
    for (const entry_instance_table::entry &entry : m_node.entryInstances().live(m_clock.now()))
        entries.push_back({entry.address, entry.region, entry.failureDomain, entry.isReady});
    const auto chosen = chooseEntries(entries, region, domain, maxAddresses);
    if (chosen.empty()) {
        respondWithError(exchange, unavailable, "no entry instance is ready");
        return;
    }
    const nlohmann::json body = {
        {"addresses", chosen}, {"ttl", fmt::format("{}ms", m_settings.directoryLifetime.count())}};
    exchange->respond(ok, jsonFields, body.dump());
}

} // namespace buckthorngrade
