#pragma once

#include "base/event_log.h"

#include <cstdint>
#include <initializer_list>
#include <map>

namespace buckthorngrade {

// Limits the rate of log lines about requests. At most `linesPerSecond` lines are written for each
// kind of event, and a separate line has the number of suppressed ones. Each kind has its own
// limit, so successes never crowd out failures. Not thread-safe.
class request_log
{
public:
    static constexpr std::uint32_t linesPerSecond = 20;

    explicit request_log(event_log &events);

    // Returns whether a line of this kind may be written now; otherwise counts it as suppressed.
    bool shouldLog(event_id id);
    void write(event_id id, std::initializer_list<log_field> fields) { m_events.write(id, fields); }
    // Logs how many lines were suppressed since the last call and resets the limits. Must be called
    // once a second.
    void reportSuppressed();

private:
    struct state
    {
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    event_log &m_events;
    std::map<event_id, state> m_states;
};

} // namespace buckthorngrade
