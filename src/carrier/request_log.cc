#include "carrier/request_log.h"

namespace buckthorngrade {

request_log::request_log(event_log &events)
    : m_events(events)
{ }

bool request_log::shouldLog(event_id id)
{
    state &known = m_states[id];
    if (known.written < linesPerSecond) {
        ++known.written;
        return true;
    }
    ++known.suppressed;
    return false;
}

void request_log::reportSuppressed()
{
    for (auto &[id, known] : m_states) {
        if (known.suppressed > 0)
            m_events.write(event_id::events_left_out,
                           {{"event", describe(id).name}, {"lines", known.suppressed}});
        known = {};
    }
}

} // namespace buckthorngrade
