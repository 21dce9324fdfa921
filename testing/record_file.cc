#include "testing/record_file.h"

#include "base/error.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace buckthorngrade {

record_file::record_file(const std::filesystem::path &file)
{
    if (file.empty())
        return;
    constexpr int mode = 0644;
    m_descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (m_descriptor < 0)
        throw error("record file can't be opened: " + file.string());
}

record_file::~record_file()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void record_file::append(std::string_view line)
{
    if (m_descriptor < 0)
        return;
    std::unique_lock lock(m_mutex);
    m_pending.append(line).append("\n");
    const std::uint64_t added = ++m_lastAdded;
    while (m_lastSynced < added && !m_hasFailed) {
        if (m_isSyncing) {
            m_synced.wait(lock);
            continue;
        }
        m_isSyncing = true;
        const std::string batch = std::exchange(m_pending, {});
        const std::uint64_t batchEnd = m_lastAdded;
        lock.unlock();
        const bool written = ::write(m_descriptor, batch.data(), batch.size())
                == static_cast<ssize_t>(batch.size())
            && ::fdatasync(m_descriptor) == 0;
        lock.lock();
        m_isSyncing = false;
        m_hasFailed = !written;
        m_lastSynced = batchEnd;
        m_synced.notify_all();
    }
    if (m_hasFailed)
        throw error("record file can't be written");
}

} // namespace buckthorngrade
