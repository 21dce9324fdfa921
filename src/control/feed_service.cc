#include "control/feed_service.h"

#include <deque>
#include <utility>
#include <vector>

namespace buckthorngrade {

namespace {

constexpr std::chrono::seconds keepalivePeriod{1};
constexpr std::size_t maxSubscribers = 1'000;

class rejected_stream final : public grpc::ServerWriteReactor<wire::feed_update>
{
public:
    explicit rejected_stream(const grpc::Status &status) { Finish(status); }
    void OnDone() override { delete this; }
};

} // namespace

// The stream to one subscriber. It owns itself until gRPC reports that the call is done.
class feed_stream final
    : public grpc::ServerWriteReactor<wire::feed_update>
    , public std::enable_shared_from_this<feed_stream>
{
public:
    feed_stream(feed_service &service, std::uint64_t id, std::string instance,
                std::uint64_t knownRevision)
        : m_service(service)
        , m_id(id)
        , m_instance(std::move(instance))
        , m_knownRevision(knownRevision)
    { }

    void keepAliveUntilDone() { m_self = shared_from_this(); }

    // Starts a write if none is in progress and there is something to send.
    void sendNext(bool keepalive)
    {
        // The lock is held until the write has started, because none may start after Finish().
        const std::lock_guard lock(m_mutex);
        if (m_writing || m_finished || !prepareUpdate(keepalive))
            return;
        m_writing = true;
        m_service.m_sentBytes.add(m_update.ByteSizeLong());
        StartWrite(&m_update);
    }

    void finish(const grpc::Status &status)
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_finished, true))
            Finish(status);
    }

    void OnWriteDone(bool ok) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_writing = false;
        }
        if (ok)
            sendNext(false);
        else
            finish(grpc::Status::CANCELLED);
    }
    void OnCancel() override { finish(grpc::Status::CANCELLED); }
    void OnDone() override
    {
        m_service.remove(m_id, m_instance);
        m_self.reset();
    }

private:
    // Fills m_update. Returns false if there is nothing to send.
    bool prepareUpdate(bool keepalive)
    {
        m_update.Clear();
        m_update.set_leader(m_service.m_log.view().leader);
        if (m_pendingChanges.empty()) {
            config_publisher::batch batch = m_service.m_publisher.batchSince(m_knownRevision);
            m_knownRevision = batch.revision;
            if (batch.full) {
                *m_update.mutable_full() = *batch.full;
                return true;
            }
            m_pendingChanges.insert(m_pendingChanges.end(), batch.changes.begin(),
                                    batch.changes.end());
        }
        if (!m_pendingChanges.empty()) {
            *m_update.mutable_change() = *m_pendingChanges.front();
            m_pendingChanges.pop_front();
            return true;
        }
        m_update.set_keepalive(true);
        return keepalive;
    }

    feed_service &m_service;
    const std::uint64_t m_id;
    const std::string m_instance;
    std::mutex m_mutex;
    std::uint64_t m_knownRevision;
    std::deque<std::shared_ptr<const wire::config_change>> m_pendingChanges;
    wire::feed_update m_update;
    bool m_writing = false;
    bool m_finished = false;
    std::shared_ptr<feed_stream> m_self;
};

feed_service::feed_service(std::string cluster, config_publisher &publisher, const replicator &log,
                           event_log &events, metric_registry &metrics)
    : m_cluster(std::move(cluster))
    , m_publisher(publisher)
    , m_log(log)
    , m_events(events)
    , m_sentBytes(metrics.counter("buckthorngrade_feed_sent_bytes_total"))
    , m_subscription(publisher.addSubscriber([this] {
        const std::lock_guard lock(m_mutex);
        m_hasChanges = true;
        m_changed.notify_all();
    }))
    , m_thread([this] { run(); })
{ }

feed_service::~feed_service()
{
    m_publisher.removeSubscriber(m_subscription);
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

grpc::ServerWriteReactor<wire::feed_update> *
feed_service::Subscribe(grpc::CallbackServerContext *, const wire::subscribe_request *request)
{
    if (request->cluster() != m_cluster)
        return new rejected_stream({grpc::StatusCode::FAILED_PRECONDITION, "another cluster"});
    std::shared_ptr<feed_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || m_streams.size() >= maxSubscribers)
            return new rejected_stream(
                {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many subscribers"});
        const std::uint64_t id = m_nextId++;
        stream = std::make_shared<feed_stream>(*this, id, request->instance(), request->revision());
        stream->keepAliveUntilDone();
        m_streams.emplace(id, stream);
        m_hasChanges = true;
    }
    m_changed.notify_all();
    m_events.write(event_id::subscriber_connected,
                   {{"subscriber", request->instance()}, {"revision", request->revision()}});
    return stream.get();
}

void feed_service::remove(std::uint64_t id, const std::string &instance)
{
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(id);
    }
    m_events.write(event_id::subscriber_disconnected, {{"subscriber", instance}});
}

void feed_service::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool changed = m_changed.wait_for(lock, keepalivePeriod,
                                                [this] { return m_hasChanges || m_stopping; });
        m_hasChanges = false;
        std::vector<std::shared_ptr<feed_stream>> streams;
        streams.reserve(m_streams.size());
        for (const auto &[id, stream] : m_streams)
            streams.push_back(stream);
        lock.unlock();
        for (const auto &stream : streams)
            stream->sendNext(!changed);
        streams.clear();
        lock.lock();
    }
}

} // namespace buckthorngrade
