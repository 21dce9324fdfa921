#pragma once

#include "agreement/peer_transport.h"
#include "base/clock.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace buckthorngrade {

// Connects replicas of one process, with a one-way delay and links that can be cut. Thread-safe.
class in_process_network
{
public:
    using receiver = std::function<void(std::string)>;

    explicit in_process_network(std::chrono::milliseconds oneWayDelay);
    ~in_process_network();
    in_process_network(const in_process_network &) = delete;
    in_process_network &operator=(const in_process_network &) = delete;

    // The transport of one replica. Must not outlive this.
    std::unique_ptr<peer_transport> transportOf(replica_id self);
    void attach(replica_id id, receiver to);
    // Returns once no message is being handed to it.
    void detach(replica_id id);
    // Cuts the link in one direction.
    void cut(replica_id from, replica_id to);
    // Cuts all links of a replica, in both directions.
    void isolate(replica_id id);
    void healAll();

private:
    class transport;
    struct delivery
    {
        replica_id to = 0;
        std::string bytes;
    };

    void send(replica_id from, replica_id to, std::string bytes);
    void run();

    const std::chrono::milliseconds m_delay;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<replica_id, receiver> m_receivers;
    std::set<std::pair<replica_id, replica_id>> m_cut;
    std::multimap<steady_time, delivery> m_waiting; // in the order sent, as the delay is constant
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
