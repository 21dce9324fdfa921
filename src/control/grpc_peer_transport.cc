#include "control/grpc_peer_transport.h"

#include "base/bounded_ring.h"
#include "base/clock.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <ranges>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>

namespace buckthorngrade {

namespace {

// Leaves space for the other fields of the envelope.
constexpr std::size_t maxPayloadBytes = maxPeerMessageBytes - 1024;
constexpr std::chrono::milliseconds popTimeout{200};
constexpr std::chrono::milliseconds connectTimeout{500};

} // namespace

struct grpc_peer_transport::peer
{
    peer(replica_id peerId, std::string peerAddress, std::size_t maxQueuedMessages)
        : id(peerId)
        , address(std::move(peerAddress))
        , queue(maxQueuedMessages)
    { }

    std::optional<std::string> pop(std::chrono::milliseconds timeout)
    {
        std::optional<std::string> bytes = queue.pop(timeout);
        if (bytes)
            queuedBytes -= bytes->size();
        return bytes;
    }

    void cancel()
    {
        const std::lock_guard lock(mutex);
        if (context != nullptr)
            context->TryCancel();
    }

    // Sets the context that cancel() cancels. Returns false if stop() has been called.
    bool setContext(grpc::ClientContext *next, const std::atomic<bool> &stopping)
    {
        const std::lock_guard lock(mutex);
        context = next;
        return !stopping;
    }

    replica_id id;
    std::string address;
    bool isSilent
        = false; // the last stream ended by silenceTimeout; used only by the peer's thread
    bounded_ring<std::string> queue;
    std::atomic<std::size_t> queuedBytes = 0;
    std::atomic<steady_time> lastReceived = steady_time::min();
    steady_time lastUsed = std::chrono::steady_clock::now(); // guarded by m_mutex of the transport
    std::mutex mutex;
    grpc::ClientContext *context = nullptr;
    std::thread thread;
};

grpc_peer_transport::grpc_peer_transport(settings options, event_log &events,
                                         metric_registry &metrics)
    : m_settings(std::move(options))
    , m_events(events)
    , m_dropped(metrics.counter("bg_peer_link_messages_dropped_total"))
{
    for (const auto &[id, address] : m_settings.addresses)
        if (id != m_settings.self)
            addPeer(id, address);
}

std::shared_ptr<grpc_peer_transport::peer> grpc_peer_transport::addPeer(replica_id id,
                                                                        const std::string &address)
{
    auto added = std::make_shared<peer>(id, address, m_settings.maxQueuedMessages);
    added->thread = std::thread([this, &target = *added] { run(target); });
    m_peers[id] = added;
    return added;
}

std::shared_ptr<grpc_peer_transport::peer> grpc_peer_transport::findPeer(replica_id id)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_peers.find(id); found != m_peers.end()) {
        found->second->lastUsed = std::chrono::steady_clock::now();
        return found->second;
    }
    if (!m_settings.addressOf || id == m_settings.self || m_stopping
        || m_peers.size() >= m_settings.maxPeers)
        return nullptr;
    std::ranges::for_each(m_removed, [](const auto &removed) { removed->thread.join(); });
    m_removed.clear();
    return addPeer(id, m_settings.addressOf(id));
}

bool grpc_peer_transport::removeIfUnused(const peer &candidate)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping || m_settings.addresses.contains(candidate.id)
        || std::chrono::steady_clock::now() - candidate.lastUsed < m_settings.unusedTimeout)
        return false;
    const auto found = m_peers.find(candidate.id);
    m_removed.push_back(std::move(found->second));
    m_peers.erase(found);
    return true;
}

void grpc_peer_transport::connect(replica_id to)
{
    findPeer(to);
}

void grpc_peer_transport::recordReceived(replica_id from)
{
    if (const auto sender = findPeer(from))
        sender->lastReceived = std::chrono::steady_clock::now();
}

grpc_peer_transport::~grpc_peer_transport()
{
    stop();
}

void grpc_peer_transport::stop()
{
    {
        const std::lock_guard lock(m_mutex); // no peer is added after m_stopping is set
        m_stopping = true;
    }
    for (const auto &[id, to] : m_peers) {
        to->queue.close();
        to->cancel();
    }
    const auto join = [](const std::shared_ptr<peer> &ending) {
        if (ending->thread.joinable())
            ending->thread.join();
    };
    std::ranges::for_each(m_peers | std::views::values, join);
    std::ranges::for_each(m_removed, join);
}

void grpc_peer_transport::send(replica_id to, std::string bytes)
{
    const auto found = findPeer(to);
    const std::size_t size = bytes.size();
    if (found == nullptr || size > maxPayloadBytes) {
        m_dropped.add();
        return;
    }
    peer &target = *found;
    if (target.queuedBytes.fetch_add(size) + size <= m_settings.maxQueuedBytes
        && target.queue.tryPush(std::move(bytes)))
        return;
    target.queuedBytes -= size;
    m_dropped.add();
}

void grpc_peer_transport::run(peer &to)
{
    std::shared_ptr<grpc::Channel> channel = openPeerChannel(to.address);
    auto stub = wire::replica_link::NewStub(channel);
    std::chrono::milliseconds delay = m_settings.initialRetryDelay;
    while (!m_stopping) {
        if (to.isSilent) {
            channel = openPeerChannel(to.address);
            stub = wire::replica_link::NewStub(channel);
            to.isSilent = false;
        }
        if (!channel->WaitForConnected(std::chrono::system_clock::now() + connectTimeout)) {
            discardQueued(to, std::chrono::milliseconds(0));
            if (removeIfUnused(to))
                return;
            continue;
        }
        if (runStream(to, *stub))
            delay = m_settings.initialRetryDelay;
        discardQueued(to, delay);
        delay = std::min(delay * 2, m_settings.maxRetryDelay);
    }
}

bool grpc_peer_transport::runStream(peer &to, wire::replica_link::Stub &stub)
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
    // Time of the first message since the last one from the peer. Two followers exchange nothing
    // for minutes; only a message without an answer shows that the connection is dead.
    std::optional<steady_time> unansweredSince;
    for (bool isOpen = true; isOpen && !m_stopping;) {
        if (unansweredSince && to.lastReceived.load() >= *unansweredSince)
            unansweredSince.reset();
        if (m_settings.silenceTimeout.count() > 0 && unansweredSince
            && std::chrono::steady_clock::now() - *unansweredSince > m_settings.silenceTimeout) {
            to.isSilent = true;
            break;
        }
        std::optional<std::string> bytes = to.pop(popTimeout);
        if (!bytes)
            continue;
        envelope.set_payload(std::move(*bytes));
        if (!unansweredSince)
            unansweredSince = std::chrono::steady_clock::now();
        isOpen = writer->Write(envelope);
        sent += isOpen ? 1 : 0;
        if (!isOpen)
            m_dropped.add();
    }
    context.TryCancel();
    const grpc::Status status = writer->Finish();
    to.setContext(nullptr, m_stopping);
    if (!m_stopping)
        m_events.write(event_id::peer_disconnected,
                       {{"peer", to.id}, {"what", status.error_message()}});
    // The first write succeeds even if the peer then rejects the stream.
    return sent > 1;
}

// Discards queued messages for `time`. Messages queued without a stream are stale, and the protocol
// resends what is still needed.
void grpc_peer_transport::discardQueued(peer &to, std::chrono::milliseconds time)
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

grpc_peer_service::grpc_peer_service(std::string cluster, replica_id self,
                                     std::function<void(replica_id, std::string)> receive,
                                     event_log &events)
    : m_cluster(std::move(cluster))
    , m_self(self)
    , m_receive(std::move(receive))
    , m_events(events)
{ }

grpc::Status grpc_peer_service::Deliver(grpc::ServerContext *context,
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
        m_receive(envelope.from(), std::move(*envelope.mutable_payload()));
    }
    return grpc::Status::OK;
}

} // namespace buckthorngrade
