#pragma once

#include "agreement/consensus_core.h"
#include "agreement/file_system.h"
#include "agreement/log_store.h"

#include <memory>
#include <vector>

namespace buckthorngrade {

// Keeps the two newest snapshots, one file each. The log reaches back to the older one, so no data
// is lost if the newest is damaged.
class snapshot_store
{
public:
    snapshot_store(file_system &files, std::filesystem::path folder, storage_owner owner);

    // Returns the valid snapshots by ascending index. Damaged files are skipped if another snapshot
    // is valid; the caller must check that the log reaches back to it. Throws storage_corruption if
    // there are snapshots but none is valid, or if a file belongs to another replica.
    std::vector<std::shared_ptr<const log_snapshot>> load();
    // Stores a snapshot and removes all but the two newest. Durable when it returns.
    void save(const log_snapshot &snapshot);
    // Index of the older of the two snapshots; 0 if there are fewer than two.
    log_index olderIndex() const
    {
        return m_snapshotIndexes.size() > 1 ? m_snapshotIndexes.front() : 0;
    }
    // Number of damaged files that load() skipped.
    std::size_t damaged() const { return m_damaged.size(); }
    void removeDamaged();

private:
    std::filesystem::path snapshotPath(log_index index) const;

    file_system &m_files;
    std::filesystem::path m_folder;
    storage_owner m_owner;
    std::vector<log_index> m_snapshotIndexes;
    std::vector<std::filesystem::path> m_damaged;
};

} // namespace buckthorngrade
