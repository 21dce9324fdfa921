#pragma once

#include "agreement/replicator.h"
#include "base/event_log.h"
#include "control/control_state.h"
#include "model/routing_document.h"

#include <chrono>
#include <string>
#include <string_view>

namespace buckthorngrade {

// What became of an operator's order.
struct order_result
{
    enum class status {
        accepted, // committed, or it changes nothing
        invalid, // refused; `detail` says why
        elsewhere, // ask `leader`
        unavailable, // no outcome in time; the same order may be sent again
    };
    status outcome = status::unavailable;
    std::string detail;
    replica_id leader = 0;
};

struct routing_read
{
    order_result::status outcome = order_result::status::unavailable;
    replica_id leader = 0;
    std::string text; // as the operator wrote it
};

// Operators' orders on routing documents and evacuations. Calls block until the order is committed
// or `orderTimeout` has passed. Thread-safe.
class routing_service
{
public:
    // Operators ask another instance after a second without an answer.
    static constexpr std::chrono::milliseconds orderTimeout{900};

    // All references must outlive this. `log` must drive `state`.
    routing_service(replicator &log, control_state &state, const routing_codec &codec,
                    event_log &events);

    // A document that is not above the version in force is accepted and changes nothing.
    order_result putRouting(std::string_view text);
    order_result evacuate(const std::string &failureDomain, bool active);
    // Confirmed by a quorum after the call, so that it is the newest document.
    routing_read read();

private:
    order_result submit(const wire::command &command, std::string_view what);
    order_result atLeader() const;

    replicator &m_log;
    control_state &m_state;
    const routing_codec &m_codec;
    event_log &m_events;
};

} // namespace buckthorngrade
