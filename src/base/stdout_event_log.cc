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
    while (done < m_pendingOutput.size()) {
        const auto written
            = ::write(m_descriptor, m_pendingOutput.data() + done, m_pendingOutput.size() - done);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_pendingOutput.erase(0, done);
}

void stdout_event_log::writeLine(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (!m_pendingOutput.empty())
        flush();
    if (m_pendingOutput.size() + line.size() + m_suffix.size() > maxPendingBytes) {
        ++m_dropped;
        ++m_droppedSinceReport;
        return;
    }
    if (m_droppedSinceReport > 0) {
        m_pendingOutput += fmt::format("log lines dropped: {}{}", m_droppedSinceReport, m_suffix);
        m_droppedSinceReport = 0;
    }
    m_pendingOutput += line;
    m_pendingOutput += m_suffix;
    flush();
}

} // namespace buckthorngrade
