#pragma once

#include "base/event_log.h"
#include "link.grpc.pb.h"
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
#include <vector>

namespace buckthorngrade {

// Asks all control instances for their views, each on its own connection, and hands the views to
// the event loop. An instance that stays silent is asked again on a new connection, because the
// old one may have gone silent for good.
class control_client
{
public:
    static constexpr std::chrono::milliseconds callTimeout{900};
    // Calls in a row without any answer before the connection is given up. A refusal is an answer:
    // gRPC connects again by itself.
    static constexpr std::uint32_t silencesUntilReconnect = 2;
    // gRPC 1.51 aborted processes that dropped channels whose connection was being made, so a
    // channel that was given up is kept for longer than an attempt to connect takes.
    static constexpr std::chrono::seconds retireTime{5};

    using view_handler = std::function<void(const std::string &host, const wire::node_view &)>;

    // `loop` and `events` must outlive this. `onView` is called on the loop's thread.
    control_client(event_loop &loop, std::uint16_t port, event_log &events, view_handler onView);
    // Waits for the calls under way.
    ~control_client();
    control_client(const control_client &) = delete;
    control_client &operator=(const control_client &) = delete;

    // Control instances by IPv4 address.
    void setHosts(const std::set<std::string> &hosts);
    // Sends `report` to every instance that has no call under way. `detailsFrom` is the one that is
    // asked for the details: a newer routing document, the other instances and the loads.
    void poll(const wire::node_report &report, const std::string &detailsFrom);
    // Sends `report` to one instance, if it has no call under way.
    void pollOne(const wire::node_report &report, const std::string &host);
    // Hosts that answered their last call.
    std::set<std::string> answering() const;
    std::size_t hostCount() const { return m_peers.size(); }
    // Connections that were given up since the start.
    std::size_t reconnects() const { return m_reconnects; }

private:
    struct peer;
    struct call_state;
    struct retired_channel
    {
        steady_time since;
        std::shared_ptr<grpc::Channel> channel;
    };

    void start(peer &to, const wire::node_report &report, bool wantsDetails);
    void finished(const std::string &host, std::uint64_t generation, const grpc::Status &status,
                  const std::shared_ptr<wire::node_view> &view);
    void connect(peer &to);
    void reconnect(peer &to);

    event_loop &m_loop;
    std::uint16_t m_port;
    event_log &m_events;
    view_handler m_onView;
    std::map<std::string, std::unique_ptr<peer>> m_peers; // by host
    std::vector<retired_channel> m_retired;
    std::size_t m_reconnects = 0;
    std::uint64_t m_nextGeneration = 1;
    std::shared_ptr<std::atomic<int>> m_underWay = std::make_shared<std::atomic<int>>(0);
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); // used on the loop's thread
};

} // namespace buckthorngrade
