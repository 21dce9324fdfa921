#pragma once

#include "base/event_log.h"

#include <cstdint>
#include <initializer_list>
#include <map>

namespace buckthorngrade {

// Bounds the log lines about requests: of each kind of event, at most `linesPerSecond` are written
// in a second, and what was left out is counted in a line of its own. Each kind has a bound of its
// own, so successes never crowd out failures. Used by one thread.
class request_log
{
public:
    static constexpr std::uint32_t linesPerSecond = 20;

    explicit request_log(event_log &events);

    // Whether a line of this kind is written now; otherwise it is counted.
    bool admits(event_id id);
    void write(event_id id, std::initializer_list<log_field> fields) { m_events.write(id, fields); }
    // Writes how many lines were left out since the last call. Called once a second.
    void reportLeftOut();

private:
    struct state
    {
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    event_log &m_events;
    std::map<event_id, state> m_states;
};

} // namespace buckthorngrade
