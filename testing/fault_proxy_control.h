#pragma once

#include "testing/fault_proxy.h"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <string>
#include <thread>

namespace buckthorngrade {

// Controls a fault_proxy over HTTP, one connection at a time.
//   GET  /status   counters as JSON
//   POST /set      JSON object, all keys optional:
//     "to_target", "to_client", "both": {"delay", "jitter", "stall_time": "5ms",
//         "rate": "300Mbit/s", "stall", "reset": probability, "state": "open"|"hold"|"discard"}
//     "refuse": true | false
//     "action": "heal" | "reset_all" | "half_open"
class fault_proxy_control
{
public:
    // `proxy` must outlive this. Throws error if `listen` can't be bound.
    fault_proxy_control(fault_proxy &proxy, const std::string &listen);
    ~fault_proxy_control();
    fault_proxy_control(const fault_proxy_control &) = delete;
    fault_proxy_control &operator=(const fault_proxy_control &) = delete;

    std::string address() const { return m_listener.address().toString(); }

private:
    void run();
    void serve(const Poco::Net::StreamSocket &socket);
    void apply(const std::string &body);
    std::string statusJson() const;

    fault_proxy &m_proxy;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
