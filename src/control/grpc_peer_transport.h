#pragma once

#include "agreement/peer_transport.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/peer_channel.h"
#include "link.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Sends the replicas' messages over gRPC. Each peer has a bounded queue, a sender thread and one
// client stream. A stream that fails is reopened after a delay that doubles up to `maxRetryDelay`.
class grpc_peer_transport final : public peer_transport
{
public:
    struct settings
    {
        std::string cluster;
        replica_id self = 0;
        std::map<replica_id, std::string> addresses; // "IP:port" by replica; `self` is ignored
        // Returns the address of a replica that is not in `addresses`. If empty, messages to such
        // replicas are dropped.
        std::function<std::string(replica_id)> addressOf;
        std::size_t maxPeers = 64; // with `addressOf`; messages to further replicas are dropped
        // A replica from `addressOf` that can't be reached and had no message in either direction
        // for this long gives up its place among `maxPeers`, with its thread and queue. The next
        // message takes a new one.
        std::chrono::milliseconds unusedTimeout{60'000};
        // A stream is reopened on a new connection if a message was sent to the peer and none has
        // arrived from it since, on any connection, for this long. 0 disables this.
        std::chrono::milliseconds silenceTimeout{0};
        std::size_t maxQueuedMessages = 4'096; // queued messages of a peer
        std::size_t maxQueuedBytes = 16U << 20; // payload bytes of these messages
        std::chrono::milliseconds initialRetryDelay{100}; // before a failed stream is reopened
        std::chrono::milliseconds maxRetryDelay{2'000};
    };

    // `events` and `metrics` must outlive this. Starts the threads.
    grpc_peer_transport(settings options, event_log &events, metric_registry &metrics);
    ~grpc_peer_transport() override;
    grpc_peer_transport(const grpc_peer_transport &) = delete;
    grpc_peer_transport &operator=(const grpc_peer_transport &) = delete;

    void send(replica_id to, std::string bytes) override;
    // Starts connecting to a replica, so that the first message does not wait for the connection.
    // Thread-safe.
    void connect(replica_id to);
    // Records that a message from `from` arrived, on any connection. Must be called for each
    // message if `silenceTimeout` is set. Thread-safe.
    void recordReceived(replica_id from);
    // Cancels all streams and joins the threads. Idempotent.
    void stop();

private:
    struct peer;
    std::shared_ptr<peer> findPeer(replica_id id);
    std::shared_ptr<peer> addPeer(replica_id id, const std::string &address);
    void run(peer &to);
    // Removes the peer if it is unused. Called by the peer's thread, which must then end.
    bool removeIfUnused(const peer &candidate);
    // Sends until the stream fails, the peer is silent for too long or stop() is called. Returns
    // true if the peer accepted the stream.
    bool runStream(peer &to, wire::replica_link::Stub &stub);
    void discardQueued(peer &to, std::chrono::milliseconds time);

    settings m_settings;
    event_log &m_events;
    metric_counter &m_dropped;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex; // guards m_peers and m_removed; neither changes once m_stopping is set
    std::map<replica_id, std::shared_ptr<peer>> m_peers;
    std::vector<std::shared_ptr<peer>> m_removed; // their threads are ending
};

// Implements replica_link.Deliver: passes the payloads of streams for this cluster and replica to
// `receive` and rejects other streams. The maximum message size of the server must be
// maxPeerMessageBytes.
class grpc_peer_service final : public wire::replica_link::Service
{
public:
    // `receive` gets the sender and the payload. It is called on gRPC's threads and must not block.
    grpc_peer_service(std::string cluster, replica_id self,
                      std::function<void(replica_id, std::string)> receive, event_log &events);

    grpc::Status Deliver(grpc::ServerContext *context, grpc::ServerReader<wire::envelope> *reader,
                         wire::deliver_end *response) override;

private:
    std::string m_cluster;
    replica_id m_self;
    std::function<void(replica_id, std::string)> m_receive;
    event_log &m_events;
};

} // namespace buckthorngrade
