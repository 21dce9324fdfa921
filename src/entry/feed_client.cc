#include "entry/feed_client.h"

#include "base/error.h"

#include <functional>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::chrono::milliseconds connectTimeout{1000};

} // namespace

feed_client::feed_client(const settings &config, std::uint64_t incarnation,
                         const control_channels &channels, config_store &store, leader_hint &leader,
                         event_log &events)
    : m_settings(config)
    , m_incarnation(incarnation)
    , m_channels(channels)
    , m_store(store)
    , m_leader(leader)
    , m_events(events)
    // Entry instances start at different members, so that the feeds are spread over them.
    , m_currentMember(std::hash<std::string>{}(config.instance) % channels.members().size())
    , m_thread([this] { run(); })
{ }

feed_client::~feed_client()
{
    m_stopping = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_context)
            m_context->TryCancel();
    }
    m_thread.join();
}

void feed_client::run()
{
    while (!m_stopping) {
        subscribe(m_channels.members()[m_currentMember]);
        if (m_stopping)
            return;
        m_currentMember = (m_currentMember + 1) % m_channels.members().size();
        std::this_thread::sleep_for(retryDelay);
    }
}

void feed_client::subscribe(const control_channels::member &member)
{
    if (!control_channels::waitForConnection(member, connectTimeout))
        return;
    grpc::ClientContext context;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_context = &context;
    }
    wire::subscribe_request request;
    request.set_cluster(m_settings.cluster);
    request.set_instance(m_settings.instance);
    request.set_incarnation(m_incarnation);
    request.set_revision(m_store.current()->revision);
    const auto stream = member.feed->Subscribe(&context, request);
    wire::feed_update update;
    bool connected = false;
    while (stream->Read(&update)) {
        if (!connected)
            m_events.write(event_id::feed_connected, {{"control", member.id}});
        connected = true;
        if (!applyUpdate(update))
            break;
    }
    context.TryCancel();
    const grpc::Status status = stream->Finish();
    {
        const std::lock_guard lock(m_mutex);
        m_context = nullptr;
    }
    if (connected && !m_stopping)
        m_events.write(event_id::feed_lost,
                       {{"control", member.id}, {"reason", status.error_message()}});
}

bool feed_client::applyUpdate(const wire::feed_update &update)
{
    m_leader.observe(update.leader());
    try {
        const bool isApplied = update.has_full() ? m_store.replace(update.full())
            : update.has_change()                ? m_store.apply(update.change())
                                                 : false;
        if (isApplied)
            m_events.write(event_id::config_applied, {{"revision", m_store.current()->revision}});
        return true;
    } catch (const settings_error &failure) {
        m_events.write(event_id::feed_lost, {{"reason", failure.what()}});
        return false;
    }
}

} // namespace buckthorngrade
