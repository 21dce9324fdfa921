#pragma once

#include "base/event_log.h"
#include "link.grpc.pb.h"
#include "link/retired_channels.h"
#include "net/event_loop.h"

#include <grpcpp/channel.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace buckthorngrade {

// Polls all control instances for their views, each over its own connection, and passes the views
// to a handler on the event loop. After repeated timeouts the connection is replaced, because a
// dead connection may never recover.
class control_client
{
public:
    static constexpr std::chrono::milliseconds callTimeout{900};
    // Number of timed-out calls since the last successful one after which the connection is
    // replaced. Other errors, such as a refused connection, don't count, because gRPC reconnects by
    // itself after them.
    static constexpr std::uint32_t timeoutsUntilReconnect = 2;

    using view_handler = std::function<void(const std::string &host, const wire::node_view &)>;

    // `loop` and `events` must outlive this object. `onView` is called on the loop's thread.
    control_client(event_loop &loop, std::uint16_t port, event_log &events, view_handler onView);
    // Waits for the calls in progress, which takes at most `callTimeout`.
    ~control_client();
    control_client(const control_client &) = delete;
    control_client &operator=(const control_client &) = delete;

    // Sets the control instances to poll, by IPv4 address.
    void setHosts(const std::set<std::string> &hosts);
    // Sends `report` to every control instance that has no call in progress. The instance
    // `detailsHost` is also asked for the details: a newer routing document, the lists of entry
    // instances and of upstreams, and the loads. Only one is asked, because the details are large.
    void poll(const wire::node_report &report, const std::string &detailsHost);
    // Sends `report` to one control instance and asks for a newer routing document only, unless it
    // has a call in progress.
    void requestRouting(const wire::node_report &report, const std::string &host);
    // Returns the hosts whose last call succeeded.
    std::set<std::string> respondingHosts() const;
    std::size_t hostCount() const { return m_peers.size(); }
    // Returns the number of connections that were replaced since the start.
    std::size_t reconnects() const { return m_reconnects; }

private:
    struct peer;
    struct call_state;
    void start(peer &to, wire::node_report report);
    void handleReply(const std::string &host, std::uint64_t generation, const grpc::Status &status,
                     const wire::node_view &view);
    void connect(peer &to);
    void reconnect(peer &to);

    event_loop &m_loop;
    std::uint16_t m_port;
    event_log &m_events;
    view_handler m_onView;
    std::map<std::string, std::unique_ptr<peer>> m_peers; // by host
    retired_channels m_retiredChannels;
    std::size_t m_reconnects = 0;
    std::uint64_t m_nextGeneration = 1;
    std::shared_ptr<std::atomic<int>> m_pendingCalls = std::make_shared<std::atomic<int>>(0);
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); // used on the loop's thread
};

} // namespace buckthorngrade
