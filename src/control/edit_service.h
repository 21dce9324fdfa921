#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "store.pb.h"

#include <chrono>
#include <optional>
#include <string>

namespace buckthorngrade {

struct command_result
{
    submit_result::status outcome = submit_result::status::not_accepted;
    replica_id leader = 0; // with not_accepted: the leader to ask instead; 0: unknown
    wire::apply_result applied; // set if the outcome is `applied`
};

// Submits commands to the replicated log: validates operators' edits, sets the time of the command
// and waits for its result. Calls block until then, for at most 10 seconds. Thread-safe.
class edit_service
{
public:
    // All references must outlive this.
    edit_service(replicator &log, const clock_source &clock, event_log &events,
                 metric_registry &metrics);

    // An edit that fails validation is not submitted; its outcome is `applied` with EDIT_INVALID.
    command_result submitEdit(const wire::edit &edit);
    command_result submitBegin(const wire::begin_request &begin);
    command_result submitFinish(const wire::finish_request &finish);
    command_result submitRegistration(const wire::register_instance &registration);

private:
    command_result submit(wire::command command);
    std::optional<wire::edit_outcome> validate(const wire::edit &edit) const;

    replicator &m_log;
    const clock_source &m_clock;
    event_log &m_events;
    metric_counter &m_accepted;
    metric_counter &m_rejected;
    metric_counter &m_notAccepted;
    metric_summary &m_commitTime;
};

} // namespace buckthorngrade
