#pragma once

#include "testing/fault_proxy.h"
#include "testing/http_responder.h"

#include <string>

namespace buckthorngrade {

// Controls a fault_proxy over HTTP.
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

    std::string address() const { return m_responder.address(); }

private:
    void apply(const std::string &body);
    std::string statusJson() const;

    fault_proxy &m_proxy;
    http_responder m_responder;
};

} // namespace buckthorngrade
