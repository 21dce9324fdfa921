#pragma once

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/periodic_thread.h"
#include "entry/service_balancer.h"
#include "entry/upstream_pool.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Polls the load endpoints of the upstreams, one after the other, about once a second. The reported
// load only biases selection; a missing, late or malformed response has no other effect.
class load_poller
{
public:
    // All references must outlive this.
    load_poller(const std::vector<std::unique_ptr<service_balancer>> &balancers,
                upstream_pool &pool, event_log &events, metric_registry &metrics);

private:
    void run();
    bool poll(service_balancer &balancer, std::size_t upstream);

    const std::vector<std::unique_ptr<service_balancer>> &m_balancers;
    upstream_pool &m_pool;
    metric_counter &m_failures;
    periodic_thread m_thread;
};

// Returns the load, 0 to 1, in the response of a load endpoint; nullopt if it has no valid one.
std::optional<double> parseLoad(std::string_view json);

} // namespace buckthorngrade
