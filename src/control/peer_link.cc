#include "control/peer_link.h"

#include "base/bounded_ring.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>

namespace buckthorngrade {

namespace {

// Leaves room for the other fields of the envelope.
constexpr std::size_t maxPayloadBytes = maxPeerMessageBytes - 1024;
constexpr std::chrono::milliseconds popTimeout{200};
constexpr std::chrono::milliseconds connectTimeout{500};
// The stream carries nothing back, so only keep-alive pings notice a connection that is silently
// cut.
constexpr int keepAliveMs = 5'000;
constexpr int keepAliveTimeoutMs = 2'000;
constexpr int minBackoffMs = 100;
constexpr int maxBackoffMs = 1'000;

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxSendMessageSize(maxPeerMessageBytes);
    arguments.SetMaxReceiveMessageSize(maxPeerMessageBytes);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxBackoffMs);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

struct peer_link::peer
{
    peer(replica_id peerId, std::string peerAddress, std::size_t ringItems)
        : id(peerId)
        , address(std::move(peerAddress))
        , ring(ringItems)
    { }

    std::optional<std::string> pop(std::chrono::milliseconds timeout)
    {
        std::optional<std::string> bytes = ring.pop(timeout);
        if (bytes)
            waitingBytes -= bytes->size();
        return bytes;
    }

    void cancel()
    {
        const std::lock_guard lock(mutex);
        if (context != nullptr)
            context->TryCancel();
    }

    // Sets the context that cancel() ends. Returns false once the link stops.
    bool setContext(grpc::ClientContext *next, const std::atomic<bool> &stopping)
    {
        const std::lock_guard lock(mutex);
        context = next;
        return !stopping;
    }

    replica_id id;
    std::string address;
    bounded_ring<std::string> ring;
    std::atomic<std::size_t> waitingBytes = 0;
    std::mutex mutex;
    grpc::ClientContext *context = nullptr;
    std::thread thread;
};

peer_link::peer_link(settings options, event_log &events, metric_registry &metrics)
    : m_settings(std::move(options))
    , m_events(events)
    , m_dropped(metrics.counter("bg_peer_link_messages_dropped_total"))
{
    for (const auto &[id, address] : m_settings.addresses)
        if (id != m_settings.self)
            m_peers[id] = std::make_unique<peer>(id, address, m_settings.ringItems);
    for (const auto &[id, to] : m_peers)
        to->thread = std::thread([this, &target = *to] { run(target); });
}

peer_link::~peer_link()
{
    stop();
}

void peer_link::stop()
{
    m_stopping = true;
    for (const auto &[id, to] : m_peers) {
        to->ring.close();
        to->cancel();
    }
    for (const auto &[id, to] : m_peers)
        if (to->thread.joinable())
            to->thread.join();
}

void peer_link::send(replica_id to, std::string bytes)
{
    const auto found = m_peers.find(to);
    const std::size_t size = bytes.size();
    if (found == m_peers.end() || size > maxPayloadBytes) {
        m_dropped.add();
        return;
    }
    peer &target = *found->second;
    if (target.waitingBytes.fetch_add(size) + size <= m_settings.ringBytes
        && target.ring.tryPush(std::move(bytes)))
        return;
    target.waitingBytes -= size;
    m_dropped.add();
}

void peer_link::run(peer &to)
{
    const std::shared_ptr<grpc::Channel> channel = openChannel(to.address);
    const auto stub = wire::replica_link::NewStub(channel);
    std::chrono::milliseconds delay = m_settings.firstDelay;
    while (!m_stopping) {
        if (!channel->WaitForConnected(std::chrono::system_clock::now() + connectTimeout)) {
            discardWaiting(to, std::chrono::milliseconds(0));
            continue;
        }
        if (runStream(to, *stub))
            delay = m_settings.firstDelay;
        discardWaiting(to, delay);
        delay = std::min(delay * 2, m_settings.maxDelay);
    }
}

bool peer_link::runStream(peer &to, wire::replica_link::Stub &stub)
{
    grpc::ClientContext context;
    if (!to.setContext(&context, m_stopping))
        return false;
    wire::deliver_end end;
    const auto writer = stub.Deliver(&context, &end);
    m_events.write(event_id::peer_connected, {{"peer", to.id}});
    wire::envelope envelope;
    envelope.set_cluster(m_settings.cluster);
    envelope.set_from(m_settings.self);
    envelope.set_to(to.id);
    std::uint64_t sent = 0;
    for (bool works = true; works && !m_stopping;) {
        std::optional<std::string> bytes = to.pop(popTimeout);
        if (!bytes)
            continue;
        envelope.set_payload(std::move(*bytes));
        works = writer->Write(envelope);
        sent += works ? 1 : 0;
        if (!works)
            m_dropped.add();
    }
    context.TryCancel();
    const grpc::Status status = writer->Finish();
    to.setContext(nullptr, m_stopping);
    if (!m_stopping)
        m_events.write(event_id::peer_disconnected,
                       {{"peer", to.id}, {"what", status.error_message()}});
    // The first message is accepted even if the peer then rejects the stream.
    return sent > 1;
}

// What waits while there is no stream is stale; the protocol repeats what still matters.
void peer_link::discardWaiting(peer &to, std::chrono::milliseconds time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        if (to.pop(std::clamp(left, std::chrono::milliseconds(0), popTimeout)))
            m_dropped.add();
        else if (left.count() <= 0 || m_stopping)
            return;
    }
}

peer_link_service::peer_link_service(std::string cluster, replica_id self,
                                     std::function<void(std::string)> receive, event_log &events)
    : m_cluster(std::move(cluster))
    , m_self(self)
    , m_receive(std::move(receive))
    , m_events(events)
{ }

grpc::Status peer_link_service::Deliver(grpc::ServerContext *context,
                                        grpc::ServerReader<wire::envelope> *reader,
                                        wire::deliver_end *)
{
    wire::envelope envelope;
    while (reader->Read(&envelope)) {
        if (envelope.cluster() != m_cluster || envelope.to() != m_self) {
            m_events.write(event_id::foreign_peer_rejected,
                           {{"from", context->peer()},
                            {"cluster", envelope.cluster()},
                            {"to", envelope.to()}});
            return {grpc::StatusCode::FAILED_PRECONDITION,
                    "the stream is for another cluster or replica"};
        }
        m_receive(std::move(*envelope.mutable_payload()));
    }
    return grpc::Status::OK;
}

} // namespace buckthorngrade
