#include "entry/report_client.h"

#include <algorithm>
#include <array>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds reportPeriod{1'000};
constexpr std::chrono::milliseconds callTimeout{800};
// How long a confirmation of the revision in force is valid; see docs/design.md, 5.3.
constexpr std::chrono::milliseconds currentFor{3'000};

instance_state stateFromWire(wire::instance_health health)
{
    switch (health) {
    case wire::HEALTH_LIVE:
        return instance_state::live;
    case wire::HEALTH_SUSPECTED:
        return instance_state::suspected;
    case wire::HEALTH_DEAD:
        return instance_state::dead;
    case wire::HEALTH_LEAVING:
        return instance_state::leaving;
    case wire::HEALTH_REMOVED:
        return instance_state::removed;
    default:
        return instance_state::not_ready;
    }
}

instance_status statusFromWire(const wire::instance_entry &entry)
{
    instance_status status;
    status.name = entry.instance();
    status.incarnation = entry.incarnation();
    status.address = entry.http_address();
    status.region = entry.region();
    status.failureDomain = entry.failure_domain();
    status.state = stateFromWire(entry.health());
    status.revision = entry.revision();
    status.load = entry.load_percent() / 100.0;
    return status;
}

} // namespace

report_client::report_client(const settings &config, std::uint64_t incarnation,
                             const control_channels &channels, const feed_client &feed,
                             const config_store &store, instance_directory &directory,
                             const clock_source &clock)
    : m_settings(config)
    , m_incarnation(incarnation)
    , m_channels(channels)
    , m_feed(feed)
    , m_store(store)
    , m_directory(directory)
    , m_clock(clock)
    , m_thread([this] { run(); })
{ }

report_client::~report_client()
{
    m_stopping = true;
    m_thread.join();
}

steady_time report_client::currentUntil() const
{
    const std::lock_guard lock(m_mutex);
    return m_currentUntil;
}

void report_client::run()
{
    while (!m_stopping) {
        const steady_time start = m_clock.now();
        probe(m_channels.members()[m_feed.memberInUse()]);
        report();
        while (!m_stopping && m_clock.now() - start < reportPeriod)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

void report_client::probe(const control_channels::member &member)
{
    const steady_time start = m_clock.now();
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    wire::probe_request request;
    request.set_cluster(m_settings.cluster);
    wire::probe_reply reply;
    if (!member.link->Probe(&context, request, &reply).ok() || !reply.confirmed()
        || m_store.current()->revision < reply.confirmed_revision())
        return;
    const std::lock_guard lock(m_mutex);
    m_currentUntil = std::max(
        m_currentUntil, start - std::chrono::milliseconds(reply.confirmed_age_ms()) + currentFor);
}

void report_client::report()
{
    const control_channels::member *leader = m_channels.find(m_feed.leader());
    if (!leader)
        return;
    wire::report_request request;
    request.set_cluster(m_settings.cluster);
    request.set_instance(m_settings.instance);
    request.set_incarnation(m_incarnation);
    request.set_revision(m_store.current()->revision);
    request.set_ready(currentUntil() > m_clock.now());
    request.set_leaving(m_leaving);
    request.set_http_address(m_settings.entry.publicAddress);
    request.set_region(m_settings.region());
    request.set_failure_domain(m_settings.failureDomain);
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    wire::report_reply reply;
    if (!leader->link->Report(&context, request, &reply).ok() || !reply.accepted())
        return;
    std::vector<instance_status> instances;
    std::ranges::transform(reply.instances(), std::back_inserter(instances), statusFromWire);
    m_directory.update(std::move(instances), m_clock.now());
}

} // namespace buckthorngrade
