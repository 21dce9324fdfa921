#pragma once

#include "base/event_log.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace buckthorngrade {

// Writes to a file descriptor, usually standard output, without blocking on its reader. Lines that
// can't be written yet are buffered up to `maxPendingBytes`. Beyond that, new lines are dropped and
// counted, and the count is logged once there is room again.
class stdout_event_log final : public event_log
{
public:
    static constexpr std::size_t maxPendingBytes = 256 * 1024;

    // `instance` is appended to every line as a field. Makes the descriptor non-blocking.
    stdout_event_log(const std::string &instance, log_level minimum, int descriptor);
    ~stdout_event_log() override;

    std::uint64_t dropped() const { return m_dropped; }

protected:
    bool isEnabled(log_level level) const override { return level >= m_minimum; }
    void writeLine(std::string_view line) override;

private:
    void flush();

    std::string m_suffix;
    log_level m_minimum;
    int m_descriptor;
    std::mutex m_mutex;
    std::string m_pendingOutput;
    std::uint64_t m_droppedSinceReport = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
};

} // namespace buckthorngrade
