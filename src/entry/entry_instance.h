#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "entry/config_store.h"
#include "entry/entry_server.h"
#include "entry/feed_client.h"
#include "entry/instance_directory.h"
#include "entry/report_client.h"
#include "entry/request_carrier.h"
#include "link/control_channels.h"
#include "model/settings.h"

namespace buckthorngrade {

// A running entry instance. Construction starts it, destruction stops it.
class entry_instance
{
public:
    // All references must outlive this.
    entry_instance(const settings &config, const clock_source &clock, event_log &events,
                   metric_registry &metrics, const json_tracer &tracer);

private:
    const std::uint64_t m_incarnation;
    config_store m_store;
    instance_directory m_directory;
    control_channels m_channels;
    feed_client m_feed;
    report_client m_reports;
    request_carrier m_carrier;
    entry_server m_server;
    http_listener m_http;
};

} // namespace buckthorngrade
