#include "entry/entry_status.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace buckthorngrade {

namespace {

Poco::JSON::Object::Ptr upstreamObject(const service_balancer::upstream_status &item)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("upstream", item.name);
    object->set("slots", item.view.slots);
    object->set("in_flight", item.view.inFlight);
    if (item.view.latency)
        object->set("latency_us", static_cast<std::int64_t>(item.view.latency->count()));
    if (item.view.reportedLoad)
        object->set("load", *item.view.reportedLoad);
    const std::string_view reason = ineligibleReason(item.view);
    object->set("takes_requests", reason.empty());
    if (!reason.empty())
        object->set("reason", std::string(reason));
    return object;
}

} // namespace

std::string entry_status::notReadyReason() const
{
    if (m_sources.reports.isLeaving())
        return "the instance is leaving";
    if (m_sources.store.current()->revision == 0)
        return "no configuration has arrived";
    if (!m_sources.freshnessClient.isReady())
        return "the configuration is not confirmed as current";
    if (!m_sources.slotTable.isAllocated())
        return "no slots have been allocated to this instance";
    return {};
}

std::string entry_status::toJson() const
{
    const steady_time now = m_sources.clock.now();
    const freshness_decision decision = m_sources.freshnessClient.decide();
    const std::string notReady = notReadyReason();
    Poco::JSON::Object object;
    object.set("instance", m_sources.config.instance);
    object.set("incarnation", m_incarnation);
    object.set("region", m_sources.config.region());
    object.set("failure_domain", m_sources.config.failureDomain);
    object.set("revision", m_sources.store.current()->revision);
    object.set("freshness", std::string(toString(decision.state)));
    object.set("freshness_rule", std::string(decision.rule));
    object.set("ready", notReady.empty());
    if (!notReady.empty())
        object.set("not_ready_reason", notReady);
    object.set("leaving", m_sources.reports.isLeaving());
    object.set("leader", m_sources.leader.leader());
    object.set("in_flight", m_sources.slotTable.totalInFlight());
    object.set("claim_outcomes_pending", static_cast<std::uint64_t>(m_sources.claims.pending()));

    const auto view = m_sources.directory.current();
    if (!view->instances.empty())
        object.set(
            "directory_age_ms",
            static_cast<std::int64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - view->asOf).count()));
    Poco::JSON::Array::Ptr services = new Poco::JSON::Array;
    for (const auto &balancer : m_sources.balancers) {
        Poco::JSON::Object::Ptr service = new Poco::JSON::Object;
        service->set("service", balancer->spec().name);
        service->set("profile", balancer->spec().profile);
        service->set("profile_version",
                     balancer->activeProfile(*m_sources.store.current()).version);
        Poco::JSON::Array::Ptr upstreams = new Poco::JSON::Array;
        for (const auto &item : balancer->status())
            upstreams->add(upstreamObject(item));
        service->set("upstreams", upstreams);
        services->add(service);
    }
    object.set("services", services);
    Poco::JSON::Array::Ptr decisions = new Poco::JSON::Array;
    for (const auto &item : m_sources.decisions.counts()) {
        Poco::JSON::Object::Ptr count = new Poco::JSON::Object;
        count->set("kind", std::string(toString(item.kind)));
        count->set("rule", item.rule);
        count->set("decisions", item.decisions);
        decisions->add(count);
    }
    object.set("decisions", decisions);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace buckthorngrade
