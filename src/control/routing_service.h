#pragma once

#include "agreement/replicator.h"
#include "base/event_log.h"
#include "control/control_state.h"
#include "model/routing_document.h"

#include <chrono>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Outcome of a putRouting() or evacuate() call.
struct routing_result
{
    enum class status {
        accepted, // committed, or there was nothing to change
        invalid, // rejected; `detail` is the reason
        not_leader, // this instance is not the leader; retry at `leader`
        unavailable, // no outcome in time; the same request may be sent again
    };
    status outcome = status::unavailable;
    std::string detail;
    replica_id leader = 0;
};

struct routing_read_result
{
    routing_result::status outcome = routing_result::status::unavailable;
    replica_id leader = 0;
    std::string text; // as submitted by the operator
};

// Executes operators' requests on routing documents and evacuations. Calls block until the command
// is committed or `operationTimeout` has passed. Thread-safe.
class routing_service
{
public:
    // Operators retry at another instance if there is no response within 1 s.
    static constexpr std::chrono::milliseconds operationTimeout{900};

    // All references must outlive this. `state` must be the state machine of `log`.
    routing_service(replicator &log, control_state &state, const routing_codec &codec,
                    event_log &events);

    // A document whose version is not higher than the one in force is accepted and has no effect.
    routing_result putRouting(std::string_view text);
    routing_result evacuate(const std::string &failureDomain, bool active);
    // Linearizable read: a quorum confirms the leader after the call, so the result is the newest
    // document. `unavailable` if none has been accepted.
    routing_read_result read();

private:
    routing_result submit(const wire::command &command, std::string_view commandName);
    routing_result checkLeadership() const;

    replicator &m_log;
    control_state &m_state;
    const routing_codec &m_codec;
    event_log &m_events;
};

} // namespace buckthorngrade
