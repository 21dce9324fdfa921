#include "model/profile.h"

#include "base/error.h"
#include "base/yaml_reader.h"

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxProfileBytes = 64 * 1024;

void readWeights(yaml_map &map, profile &value)
{
    value.latencyWeight = map.percent("latency", 0, 1);
    value.headroomWeight = map.percent("headroom", 0, 1);
    if (value.latencyWeight + value.headroomWeight <= 0)
        map.fault("latency", "at least one weight must be above 0%");
}

} // namespace

profile parseProfile(std::string_view yaml)
{
    yaml_limits limits;
    limits.maxBytes = maxProfileBytes;
    std::vector<yaml_fault> faults;
    profile value;
    yaml_map map(loadYaml(yaml, limits), "", faults);
    const profile defaults;
    value.name = map.name("name");
    map.map("weights", true, [&](yaml_map &weights) { readWeights(weights, value); });
    value.lookupLifetime = map.duration("lookup_lifetime", 100ms, 3s, defaults.lookupLifetime);
    value.shiftCap = map.percent("shift_cap", 0.01, 1, defaults.shiftCap);
    value.shiftInterval = map.duration("shift_interval", 1s, 10min, defaults.shiftInterval);
    value.regionLimit = map.percent("region_limit", 0.01, 1, defaults.regionLimit);
    value.reservedShare = map.percent("reserved_share", 0, 1, defaults.reservedShare);
    value.retryBudget = map.percent("retry_budget", 0, 1, defaults.retryBudget);
    value.maxRetries
        = static_cast<std::uint32_t>(map.integer("max_retries", 0, 5, defaults.maxRetries));
    value.queueLength
        = static_cast<std::uint32_t>(map.integer("queue_length", 0, 4096, defaults.queueLength));
    value.queueTimeout = map.duration("queue_timeout", 0ms, 10s, defaults.queueTimeout);
    value.warmup = map.duration("warmup", 0ms, 1h, defaults.warmup);
    value.latencyBound = map.duration("latency_bound", 1ms, 60s, defaults.latencyBound);
    value.shedBound = map.percent("shed_bound", 0, 1, defaults.shedBound);
    map.finish();
    if (!faults.empty())
        throw settings_error(formatFaults(faults));
    return value;
}

std::string formatProfile(const profile &value)
{
    return fmt::format("name: {}\n"
                       "weights:\n"
                       "  latency: {:g}%\n"
                       "  headroom: {:g}%\n"
                       "lookup_lifetime: {}ms\n"
                       "shift_cap: {:g}%\n"
                       "shift_interval: {}ms\n"
                       "region_limit: {:g}%\n"
                       "reserved_share: {:g}%\n"
                       "retry_budget: {:g}%\n"
                       "max_retries: {}\n"
                       "queue_length: {}\n"
                       "queue_timeout: {}ms\n"
                       "warmup: {}ms\n"
                       "latency_bound: {}ms\n"
                       "shed_bound: {:g}%\n",
                       value.name, value.latencyWeight * 100, value.headroomWeight * 100,
                       value.lookupLifetime.count(), value.shiftCap * 100,
                       value.shiftInterval.count(), value.regionLimit * 100,
                       value.reservedShare * 100, value.retryBudget * 100, value.maxRetries,
                       value.queueLength, value.queueTimeout.count(), value.warmup.count(),
                       value.latencyBound.count(), value.shedBound * 100);
}

} // namespace buckthorngrade
