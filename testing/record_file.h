#pragma once

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <mutex>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Append-only file of lines that survives the death of the process and of the machine. Lines that
// several threads add at the same time share one sync. Thread-safe.
class record_file
{
public:
    // Throws error if the file can't be opened. An empty name discards the lines.
    explicit record_file(const std::filesystem::path &file);
    ~record_file();
    record_file(const record_file &) = delete;
    record_file &operator=(const record_file &) = delete;

    // Returns once `line` is on disk. Throws error if that fails.
    void append(std::string_view line);

private:
    int m_descriptor = -1;
    std::mutex m_mutex;
    std::condition_variable m_synced;
    std::string m_pending;
    std::uint64_t m_lastAdded = 0;
    std::uint64_t m_lastSynced = 0;
    bool m_isSyncing = false;
    bool m_hasFailed = false;
};

} // namespace buckthorngrade
