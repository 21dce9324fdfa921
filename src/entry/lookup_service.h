#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_exchange.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/client_locator.h"
#include "entry/decision_log.h"
#include "entry/freshness_client.h"
#include "entry/instance_directory.h"
#include "entry/service_balancer.h"
#include "model/config_snapshot.h"
#include "model/settings.h"
#include "steering/lookup_policy.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Answers GET /v1/lookup?service=NAME[&client=IP]: which entry instances a caller should use.
class lookup_service
{
public:
    // All references must outlive this. `isLeaving` tells whether this instance is shutting down.
    lookup_service(const settings &config, const config_source &source,
                   const instance_directory &directory, const freshness_client &freshnessClient,
                   const client_locator &locator,
                   const std::vector<std::unique_ptr<service_balancer>> &balancers,
                   decision_log &decisions, std::function<bool()> isLeaving,
                   const clock_source &clock, event_log &events, metric_registry &metrics,
                   const json_tracer &tracer);

    // `query` is the part of the target after '?'.
    void answer(http_exchange &exchange, std::string_view query);

private:
    // Lookup candidates, cached for a short time and shared by all lookups.
    struct candidate_view
    {
        std::vector<lookup_candidate> candidates;
        std::shared_ptr<const instance_directory::view> directory;
        std::shared_ptr<const config_snapshot> config;
        freshness ownFreshness = freshness::isolated;
        steady_time builtAt;
    };
    std::shared_ptr<const candidate_view> candidates();
    std::shared_ptr<const candidate_view>
    buildView(std::shared_ptr<const instance_directory::view> directory,
              std::shared_ptr<const config_snapshot> config) const;
    std::chrono::milliseconds remainingLifetime(const candidate_view &view,
                                                const lookup_decision &decision) const;
    void reject(http_exchange &exchange, int status, const std::string &message);

    const settings &m_settings;
    const config_source &m_config;
    const instance_directory &m_directory;
    const freshness_client &m_freshnessClient;
    const client_locator &m_locator;
    const std::vector<std::unique_ptr<service_balancer>> &m_balancers;
    decision_log &m_decisions;
    const std::function<bool()> m_isLeaving;
    const clock_source &m_clock;
    event_log &m_events;
    metric_registry &m_metrics;
    const json_tracer &m_tracer;
    const delay_table m_delays;
    std::mutex m_mutex;
    std::shared_ptr<const candidate_view> m_view;
};

// Returns the percent-decoded value of a query parameter; empty if it is missing or malformed.
std::string queryValue(std::string_view query, std::string_view name);

} // namespace buckthorngrade
