#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/periodic_thread.h"
#include "base/trace.h"
#include "entry/config_store.h"
#include "entry/freshness_client.h"
#include "entry/instance_directory.h"
#include "entry/leader_hint.h"
#include "entry/link_rate_limiter.h"
#include "entry/service_balancer.h"
#include "entry/slot_table.h"
#include "entry/upstream_pool.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthorngrade {

// Reports state, demand and slots in use to the control leader each second and applies its reply:
// slot allocations, limits for requests of callers in other regions, and the table of instances.
class report_client
{
public:
    // Objects to which the replies are applied.
    struct targets
    {
        instance_directory &directory;
        slot_table &slotTable;
        link_rate_limiter &linkLimiter;
        upstream_pool &pool;
        const std::vector<std::unique_ptr<service_balancer>> &balancers;
    };
    // All references must outlive this.
    report_client(const settings &config, std::uint64_t incarnation,
                  const control_channels &channels, leader_hint &leader,
                  const freshness_client &freshnessClient, const config_store &store,
                  const targets &state, const clock_source &clock, event_log &events,
                  metric_registry &metrics, const json_tracer &tracer);

    // Reports the instance as leaving from now on, so that lookups exclude it.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }

private:
    void run();
    bool report(const control_channels::member &member);
    wire::report_request makeReport(steady_time now);
    void apply(const wire::report_reply &reply, steady_time reportSentAt);
    void applyInstances(const wire::report_reply &reply, steady_time reportSentAt);

    const settings &m_settings;
    const std::uint64_t m_incarnation;
    const control_channels &m_channels;
    leader_hint &m_leader;
    const freshness_client &m_freshnessClient;
    const config_store &m_store;
    const targets m_targets;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_failures;
    const json_tracer &m_tracer;
    std::size_t m_nextMember = 0;
    std::atomic<bool> m_leaving = false;
    periodic_thread m_thread;
};

} // namespace buckthorngrade
