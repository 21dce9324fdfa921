#include "base/stdout_event_log.h"

#include <fcntl.h>
#include <unistd.h>

namespace buckthorngrade {

stdout_event_log::stdout_event_log(const std::string &instance, log_level minimum, int descriptor)
    : m_suffix(fmt::format(" instance={}\n", escapeLogValue(instance)))
    , m_minimum(minimum)
    , m_descriptor(descriptor)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

stdout_event_log::~stdout_event_log()
{
    const std::lock_guard lock(m_mutex);
    flush();
}

void stdout_event_log::flush()
{
    std::size_t done = 0;
    while (done < m_waiting.size()) {
        const auto written
            = ::write(m_descriptor, m_waiting.data() + done, m_waiting.size() - done);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_waiting.erase(0, done);
}

void stdout_event_log::writeLine(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (!m_waiting.empty())
        flush();
    if (m_waiting.size() + line.size() + m_suffix.size() > maxWaitingBytes) {
        ++m_dropped;
        ++m_droppedSinceReport;
        return;
    }
    if (m_droppedSinceReport > 0) {
        m_waiting += fmt::format("log lines dropped: {}{}", m_droppedSinceReport, m_suffix);
        m_droppedSinceReport = 0;
    }
    m_waiting += line;
    m_waiting += m_suffix;
    flush();
}

} // namespace buckthorngrade
