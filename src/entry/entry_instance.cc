#include "entry/entry_instance.h"

namespace buckthorngrade {

namespace {

// The start time orders the incarnations of an instance that keeps nothing on disk.
std::uint64_t makeIncarnation(const clock_source &clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch())
            .count());
}

} // namespace

entry_instance::entry_instance(const settings &config, const clock_source &clock, event_log &events,
                               metric_registry &metrics, const json_tracer &tracer)
    : m_incarnation(makeIncarnation(clock))
    , m_channels(config)
    , m_feed(config, m_incarnation, m_channels, m_store, events)
    , m_reports(config, m_incarnation, m_channels, m_feed, m_store, m_directory, clock)
    , m_carrier(config, m_store, clock, events, metrics, tracer)
    , m_server(config, m_store, m_directory, m_reports, m_carrier, clock, events, metrics, tracer)
    , m_http(config.entry.httpAddress, m_server,
             {config.entry.maxConnections, config.entry.idleTimeout, config.entry.headTimeout})
{
    metrics.gauge("buckthorngrade_revision", "",
                  [this] { return static_cast<double>(m_store.current()->revision); });
}

} // namespace buckthorngrade
