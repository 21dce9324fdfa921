#pragma once

#include "control/control_node.h"
#include "control/operator_thread_pool.h"
#include "net/http_server.h"

namespace buckthorngrade {

// Translates the calls of operators and of callers that look for an entry instance into calls of
// the control instance. Used on the event loop's thread; orders run on threads of their own.
class control_api
{
public:
    // All references must outlive this.
    control_api(event_loop &loop, const node_settings &settings, control_node &node,
                const clock_source &clock);

    void handleOrder(const exchange_pointer &exchange);
    void handleLookup(const exchange_pointer &exchange) const;

private:
    void run(const exchange_pointer &exchange, std::function<routing_result()> order);
    void answer(const exchange_pointer &exchange, routing_result::status outcome, replica_id leader,
                const std::string &text) const;

    event_loop &m_loop;
    const node_settings &m_settings;
    control_node &m_node;
    const clock_source &m_clock;
    operator_thread_pool m_orders;
};

} // namespace buckthorngrade
