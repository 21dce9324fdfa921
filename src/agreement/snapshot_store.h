#pragma once

#include "agreement/consensus_core.h"
#include "agreement/file_system.h"
#include "agreement/log_store.h"

#include <memory>
#include <vector>

namespace buckthorngrade {

// Keeps the two newest snapshots, one file each. The log reaches back to the older one, so the
// newest may be damaged without loss.
class snapshot_store
{
public:
    snapshot_store(file_system &files, std::filesystem::path folder, storage_owner owner);

    // Ordered by index. A damaged file is left out if an older snapshot is valid; the caller checks
    // that the log reaches back to that. Throws storage_corruption if none is valid, or if a file
    // belongs to another replica.
    std::vector<std::shared_ptr<const log_snapshot>> load();
    // Durable when it returns. Removes all but the two newest.
    void save(const log_snapshot &snapshot);
    // Index of the older of the snapshots kept; 0 while there is only one.
    log_index olderIndex() const { return m_kept.size() > 1 ? m_kept.front() : 0; }
    // Files that load() left out.
    std::size_t damaged() const { return m_damaged.size(); }
    void removeDamaged();

private:
    std::filesystem::path fileOf(log_index index) const;

    file_system &m_files;
    std::filesystem::path m_folder;
    storage_owner m_owner;
    std::vector<log_index> m_kept;
    std::vector<std::filesystem::path> m_damaged;
};

} // namespace buckthorngrade
