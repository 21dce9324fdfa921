#include "entry/lookup_service.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace buckthorngrade {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;
// A cached view expires because drains begin and end, and freshness ends, as time passes.
constexpr std::chrono::milliseconds viewLifetime{100};

} // namespace

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != name)
            continue;
        try {
            std::string value;
            Poco::URI::decode(std::string(pair.substr(equals + 1)), value, true);
            return value;
        } catch (const Poco::SyntaxException &) {
            return {};
        }
    }
    return {};
}

lookup_service::lookup_service(const settings &config, const config_source &source,
                               const instance_directory &directory,
                               const freshness_client &freshnessClient,
                               const client_locator &locator,
                               const std::vector<std::unique_ptr<service_balancer>> &balancers,
                               decision_log &decisions, std::function<bool()> isLeaving,
                               const clock_source &clock, event_log &events,
                               metric_registry &metrics, const json_tracer &tracer)
    : m_settings(config)
    , m_config(source)
    , m_directory(directory)
    , m_freshnessClient(freshnessClient)
    , m_locator(locator)
    , m_balancers(balancers)
    , m_decisions(decisions)
    , m_isLeaving(std::move(isLeaving))
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_delays(config.deployment)
{ }

std::shared_ptr<const lookup_service::candidate_view>
lookup_service::buildView(std::shared_ptr<const instance_directory::view> directory,
                          std::shared_ptr<const config_snapshot> config) const
{
    auto view = std::make_shared<candidate_view>();
    view->builtAt = m_clock.now();
    view->ownFreshness = m_freshnessClient.decide().state;
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(view->builtAt - directory->asOf);
    const wall_time wallNow = m_clock.wallNow();
    for (const instance_status &status : directory->instances) {
        lookup_candidate candidate;
        candidate.status = status;
        candidate.reportAge = age;
        candidate.isDrained = config->isDrained(drain_target::entry, status.name, wallNow)
            || config->isDrained(drain_target::failure_domain, status.failureDomain, wallNow)
            || config->isDrained(drain_target::region, status.region, wallNow);
        if (status.name == m_settings.instance) {
            candidate.freshnessLevel = view->ownFreshness;
            // The control group's record of this instance is older than its own state.
            if (m_isLeaving())
                candidate.status.state = instance_state::leaving;
        } else if (view->ownFreshness == freshness::no_quorum_proven) {
            // The proof holds for all instances: without a quorum no change is accepted anywhere.
            candidate.freshnessLevel = freshness::no_quorum_proven;
        } else if (age >= directoryLifetime) {
            candidate.freshnessLevel = freshness::unknown;
        }
        view->candidates.push_back(std::move(candidate));
    }
    view->directory = std::move(directory);
    view->config = std::move(config);
    return view;
}

std::shared_ptr<const lookup_service::candidate_view> lookup_service::candidates()
{
    auto directory = m_directory.current();
    auto config = m_config.current();
    {
        const std::lock_guard lock(m_mutex);
        if (m_view && m_view->directory == directory && m_view->config == config
            && m_clock.now() - m_view->builtAt < viewLifetime)
            return m_view;
    }
    auto view = buildView(std::move(directory), std::move(config));
    const std::lock_guard lock(m_mutex);
    m_view = view;
    return view;
}

std::chrono::milliseconds lookup_service::remainingLifetime(const candidate_view &view,
                                                            const lookup_decision &decision) const
{
    if (decision.freshnessLevel != freshness::current)
        return decision.lifetime;
    const auto age
        = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - view.directory->asOf);
    return cacheLifetime(decision.lifetime, age);
}

void lookup_service::reject(http_exchange &exchange, int status, const std::string &message)
{
    exchange.reply(status, {{"Content-Type", "text/plain"}}, message + "\n");
}

void lookup_service::answer(http_exchange &exchange, std::string_view query)
{
    const auto span = m_tracer.startFromHeader("entry.lookup", exchange.head().get("traceparent"));
    const std::string service = queryValue(query, "service");
    const std::string client = queryValue(query, "client");
    const auto found = std::ranges::find_if(
        m_balancers, [&](const auto &item) { return item->spec().name == service; });
    if (found == m_balancers.end())
        return reject(exchange, notFound, "no such service");
    const auto location = m_locator.locate(client.empty() ? exchange.clientAddress() : client);
    if (!location)
        return reject(exchange, badRequest, "client is not an IP address");

    const auto view = candidates();
    service_balancer &balancer = **found;
    const profile &rules = balancer.activeProfile(*view->config);
    lookup_request request;
    request.service = service;
    request.placementKey = location->placementKey;
    request.region = location->region;
    request.failureDomain = location->failureDomain;
    request.shiftUnderWay = balancer.isShiftUnderWay(rules);
    request.revision = view->config->revision;
    decision_record record;
    record.id = m_decisions.nextId();
    record.time = m_clock.wallNow();
    const bool isRecorded = m_decisions.admitOrdinary();
    const lookup_decision decision
        = decideLookup(request, view->candidates, m_delays, rules, isRecorded ? &record : nullptr);
    const auto lifetime = remainingLifetime(*view, decision);
    if (isRecorded) {
        record.addInput("lifetime_ms", fmt::to_string(lifetime.count()));
        m_decisions.add(record);
    } else {
        m_decisions.count(decision_kind::lookup, decision.rule);
    }

    Poco::JSON::Array::Ptr entries = new Poco::JSON::Array;
    for (const lookup_choice &choice : decision.chosen()) {
        const instance_status &status = view->candidates[choice.candidate].status;
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("instance", status.name);
        item->set("address", status.address);
        item->set("weight", choice.weight);
        entries->add(item);
    }
    Poco::JSON::Object object;
    object.set("decision_id", record.id);
    object.set("service", service);
    object.set("revision", request.revision);
    object.set("ttl_ms", static_cast<std::int64_t>(lifetime.count()));
    object.set("freshness", std::string(toString(decision.freshnessLevel)));
    object.set("entries", entries);
    std::ostringstream text;
    object.stringify(text);
    const bool isEmpty = decision.count == 0;
    http_fields fields = {{"Buckthorn-Decision", record.id}, {"Content-Type", "application/json"}};
    if (isEmpty)
        fields.emplace_back("Retry-After", "1");
    exchange.reply(isEmpty ? serviceUnavailable : ok, fields, text.str() + "\n");
    m_metrics
        .counter("buckthorngrade_lookups_total",
                 fmt::format("service=\"{}\",rule=\"{}\"", service, decision.rule))
        .add();
    m_events.write(event_id::lookup_answered,
                   {{"decision", record.id},
                    {"service", service},
                    {"rule", decision.rule},
                    {"entries", decision.count}});
}

} // namespace buckthorngrade
