#include "carrier/request_log.h"

namespace buckthorngrade {

request_log::request_log(event_log &events)
    : m_events(events)
{ }

bool request_log::admits(event_id id)
{
    state &known = m_states[id];
    if (known.written < linesPerSecond) {
        ++known.written;
        return true;
    }
    ++known.leftOut;
    return false;
}

void request_log::reportLeftOut()
{
    for (auto &[id, known] : m_states) {
        if (known.leftOut > 0)
            m_events.write(event_id::events_left_out,
                           {{"event", describe(id).name}, {"lines", known.leftOut}});
        known = {};
    }
}

} // namespace buckthorngrade
