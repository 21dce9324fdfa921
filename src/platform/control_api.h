#pragma once

#include "control/control_node.h"
#include "control/operator_thread_pool.h"
#include "net/http_server.h"

namespace buckthorngrade {

// Serves the HTTP API of a control instance: operator requests, and callers' lookups of entry
// instances. Its functions must be called on the event loop's thread. Operator requests run on
// separate threads, because they block until a commit.
class control_api
{
public:
    // All references must outlive this object.
    control_api(event_loop &loop, const node_settings &settings, control_node &node,
                const clock_source &clock);

    void handleOperatorRequest(const exchange_pointer &exchange);
    void handleDirectoryLookup(const exchange_pointer &exchange) const;

private:
    void enqueueCommand(const exchange_pointer &exchange, std::function<routing_result()> command);
    void respond(const exchange_pointer &exchange, routing_result::status outcome,
                 replica_id leader, const std::string &text) const;

    event_loop &m_loop;
    const node_settings &m_settings;
    control_node &m_node;
    const clock_source &m_clock;
    operator_thread_pool m_commands;
};

} // namespace buckthorngrade
