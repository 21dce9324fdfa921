#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/claim_client.h"
#include "entry/client_locator.h"
#include "entry/config_store.h"
#include "entry/decision_log.h"
#include "entry/entry_server.h"
#include "entry/entry_status.h"
#include "entry/feed_client.h"
#include "entry/freshness_client.h"
#include "entry/instance_directory.h"
#include "entry/leader_hint.h"
#include "entry/link_rate_limiter.h"
#include "entry/load_poller.h"
#include "entry/lookup_service.h"
#include "entry/report_client.h"
#include "entry/request_forwarder.h"
#include "entry/service_balancer.h"
#include "entry/slot_table.h"
#include "entry/upstream_pool.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <functional>
#include <memory>
#include <vector>

namespace buckthorngrade {

// A running entry instance. The constructor starts it; the destructor stops it without draining.
class entry_instance
{
public:
    // All references must outlive this.
    entry_instance(const settings &config, const clock_source &clock, event_log &events,
                   metric_registry &metrics, const json_tracer &tracer);

    // Address that callers connect to, as "IP:port".
    std::string address() const { return m_listener.address(); }

    // Shuts down gracefully (docs/design.md, 5.9) and logs each second what it waits for.
    // `waitSecond` waits for a second and returns true if the shutdown is to be cut short. Returns
    // true if no request was cut off.
    bool drain(const std::function<bool()> &waitSecond);

private:
    std::chrono::milliseconds longestLookupLifetime() const;
    void registerMetrics(metric_registry &metrics);

    const settings &m_settings;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const std::uint64_t m_incarnation;
    client_locator m_locator;
    config_store m_store;
    instance_directory m_directory;
    leader_hint m_leader;
    slot_table m_slotTable;
    link_rate_limiter m_linkLimiter;
    upstream_pool m_pool;
    decision_log m_decisions;
    std::vector<std::unique_ptr<service_balancer>> m_balancers;
    control_channels m_channels;
    feed_client m_feed;
    freshness_client m_freshnessClient;
    report_client m_reports;
    claim_client m_claims;
    load_poller m_loadPoller;
    lookup_service m_lookups;
    request_forwarder m_forwarder;
    entry_status m_status;
    entry_server m_server;
    http_listener m_listener;
};

} // namespace buckthorngrade
