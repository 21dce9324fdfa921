#pragma once

#include "agreement/peer_transport.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "link.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace buckthorngrade {

// Bound on a gRPC message, for the server builder and the channels.
inline constexpr int maxPeerMessageBytes = 4 << 20;

// Carries the replicas' messages over gRPC. Each peer has a sender thread with a bounded ring and
// one client stream, which is opened again after a growing delay when it fails.
class peer_link final : public peer_transport
{
public:
    struct settings
    {
        std::string cluster;
        replica_id self = 0;
        std::map<replica_id, std::string> addresses; // "IP:port" of all replicas; self is ignored
        // Address of a replica that is not in `addresses`; empty: there are no others.
        std::function<std::string(replica_id)> addressOf;
        std::size_t maxPeers = 64; // with addressOf; messages to further replicas are dropped
        // A stream is opened anew on another connection if nothing came from its peer for so long
        // while messages were sent to it; 0: never. Noticed by received().
        std::chrono::milliseconds silenceLimit{0};
        std::size_t ringItems = 4'096; // messages that wait for a peer
        std::size_t ringBytes = 16U << 20; // their payloads
        std::chrono::milliseconds firstDelay{100}; // before a stream is opened again
        std::chrono::milliseconds maxDelay{2'000};
    };

    // `events` and `metrics` must outlive this. The threads start at once.
    peer_link(settings options, event_log &events, metric_registry &metrics);
    ~peer_link() override;
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    void send(replica_id to, std::string bytes) override;
    // Opens the connection to a replica before there is something to send, so that the first
    // message does not wait for it. Thread-safe.
    void connect(replica_id to);
    // A message came from `from`, by whatever connection. Thread-safe.
    void received(replica_id from);
    // Ends all streams. Idempotent.
    void stop();

private:
    struct peer;
    peer *findPeer(replica_id id);
    peer &addPeer(replica_id id, const std::string &address);
    void run(peer &to);
    // Sends until the stream fails or the link stops; returns true if anything was sent.
    bool runStream(peer &to, wire::replica_link::Stub &stub);
    void discardWaiting(peer &to, std::chrono::milliseconds time);

    settings m_settings;
    event_log &m_events;
    metric_counter &m_dropped;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex; // of m_peers
    std::map<replica_id, std::unique_ptr<peer>> m_peers;
};

// Serves replica_link.Deliver: hands the payloads of this cluster's streams to `receive`, which
// must not block and is called from gRPC's threads. The server needs maxPeerMessageBytes as its
// bound.
class peer_link_service final : public wire::replica_link::Service
{
public:
    // `receive` gets the sender and the payload.
    peer_link_service(std::string cluster, replica_id self,
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
