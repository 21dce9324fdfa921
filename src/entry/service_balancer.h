#pragma once

#include "base/clock.h"
#include "entry/link_rate_limiter.h"
#include "entry/slot_table.h"
#include "model/config_snapshot.h"
#include "model/settings.h"
#include "steering/ejection_policy.h"
#include "steering/retry_policy.h"
#include "steering/slot_lease.h"
#include "steering/upstream_selector.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Selects upstreams of one service and holds this instance's measurements of them: slots in use,
// latency, failures and reported load. Requests wait in a short queue if no slot is free.
// Thread-safe.
class service_balancer
{
public:
    // All references must outlive this. `service` is the index into the topology's services.
    service_balancer(const settings &config, std::size_t service, const config_source &source,
                     slot_table &slotTable, const link_rate_limiter &linkLimiter,
                     const clock_source &clock);

    const service_spec &spec() const { return m_spec; }
    // Returns the active profile, or the default profile until one has arrived. The reference is
    // valid as long as `config`.
    const profile &activeProfile(const config_snapshot &config) const;
    std::string regionOf(std::size_t upstream) const;

    struct selection
    {
        std::optional<std::size_t> upstream; // holds a slot there until release()
        std::string_view rule;
        bool isDeadlinePassed = false;
    };
    // Selects an upstream that is not in `tried` and acquires a slot there. Waits in the queue if
    // no slot is free. Fills `record` if it is given.
    selection acquire(const std::vector<bool> &tried, steady_time deadline,
                      decision_record *record);
    void release(std::size_t upstream);
    // Returns true if an upstream that is not in `tried` has a free slot now.
    bool hasAlternative(const std::vector<bool> &tried);

    // Admits a foreign request, which is one of a caller in another region, within this instance's
    // share of the region's limit; see shift_limiter. Each admitted request must be ended with
    // finishForeign().
    bool tryAdmitForeign();
    void finishForeign();
    // Applies the leader's reply to the report made at `reportSentAt`: its term and, if present,
    // the share of the limit. The share is leased in the same way as slots and is 0 until the first
    // one arrives.
    void applyForeignLimit(std::uint64_t term, const std::optional<slot_grant> &share,
                           steady_time reportSentAt);
    // Extends the lease of the share; see slot_lease::renewByProof().
    void renewByProof(steady_time probeSentAt, steady_time now);
    // Returns true if a drain began or the share grew within the last shift interval.
    bool isShiftUnderWay(const profile &rules);

    void recordSuccess(std::size_t upstream, std::chrono::microseconds latency);
    // Returns true if this failure ejected the upstream.
    bool recordFailure(std::size_t upstream, failure_point point);
    void recordShed(std::size_t upstream);
    void recordLoad(std::size_t upstream, double load);

    void recordFirstAttempt();
    bool canRetry(double share);
    bool tryRetry(double share);

    struct upstream_report
    {
        std::uint32_t failures = 0;
        std::uint32_t sheds = 0;
        std::uint32_t responses = 0;
        std::chrono::microseconds latency{0}; // mean over the responses
        bool hasRestarted = false; // it responds again after refusing connections
    };
    struct demand
    {
        double arrivals = 0; // per second
        std::uint32_t waiting = 0;
        std::uint32_t peakInFlight = 0;
        std::uint32_t refused = 0;
        std::uint32_t foreignHeld = 0;
        std::uint32_t foreignInFlight = 0;
        std::uint32_t foreignPeak = 0;
        std::uint32_t foreignRefused = 0;
        allocation_epoch foreignEpoch = 0;
        std::vector<upstream_report> upstreams;
    };
    // Returns the counts since the last call, which are reset, and the state at `now`.
    demand collectDemand(steady_time now);

    struct upstream_status
    {
        std::string name;
        upstream_view view;
    };
    std::vector<upstream_status> status();

private:
    struct upstream_state
    {
        std::optional<std::chrono::microseconds> latency; // exponentially smoothed
        std::optional<double> load;
        steady_time loadAt;
        steady_time recoveredAt = steady_time::min();
        bool wasUnavailable = false; // ejected or drained at the last evaluation
        bool isDrained = false;
        upstream_report report;
        std::chrono::microseconds latencySum{0};
        bool isRefusingConnections = false; // has failed to connect and not responded since
    };

    std::vector<upstream_view> views(const std::vector<bool> &tried, const profile &rules,
                                     steady_time now);
    void refreshDrains(const std::shared_ptr<const config_snapshot> &config, steady_time now);
    selection tryAcquire(const std::vector<bool> &tried, const profile &rules,
                         decision_record *record);

    const settings &m_settings;
    const std::size_t m_index;
    const service_spec &m_spec;
    const config_source &m_config;
    slot_table &m_slotTable;
    const link_rate_limiter &m_linkLimiter;
    const clock_source &m_clock;
    const upstream_tiers m_tiers;

    std::mutex m_mutex;
    std::condition_variable m_slotReleased;
    std::vector<upstream_state> m_upstreams;
    ejection_policy m_ejection;
    retry_budget m_budget;
    std::mt19937_64 m_random;
    std::shared_ptr<const config_snapshot> m_drainsConfig;
    steady_time m_drainsCheckedAt = steady_time::min();
    std::uint32_t m_waiting = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_peakInFlight = 0;
    std::uint32_t m_refused = 0;
    std::uint32_t m_arrivals = 0;
    steady_time m_demandSince;
    slot_lease m_foreignLease;
    steady_time m_foreignShareGrewAt = steady_time::min();
    std::uint32_t m_foreignInFlight = 0;
    std::uint32_t m_foreignPeak = 0;
    std::uint32_t m_foreignRefused = 0;
};

} // namespace buckthorngrade
