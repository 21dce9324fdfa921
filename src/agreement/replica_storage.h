#pragma once

#include "agreement/consensus_core.h"
#include "agreement/file_system.h"
#include "agreement/log_store.h"
#include "agreement/snapshot_store.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace buckthorngrade {

struct replica_identity
{
    storage_owner owner;
    bool founding = false;
    wire::membership founders; // if founding: all founding members, without incarnations
};

// The persistent state of a replica in its data folder: identity, hard state, log and snapshots.
// Every change is durable when the call returns. After a change throws, the object must not be used
// any more; the folder remains valid and can be loaded at the next start.
class replica_storage
{
public:
    // Locks the folder, creating it if needed.
    replica_storage(file_system &files, const std::filesystem::path &folder,
                    std::uint64_t segmentBytes);

    // Returns false for a folder whose initialization never completed. Throws storage_corruption if
    // the identity is missing but there are log entries or snapshots.
    bool hasIdentity();
    // Removes all files of the folder and creates those of a new incarnation.
    void initialize(const replica_identity &identity);
    // Reads the whole state. Throws storage_corruption if anything is damaged or missing, or if the
    // folder belongs to another cluster or replica.
    core_state load(const std::string &cluster, replica_id replica);
    const replica_identity &identity() const { return m_identity; }
    // Returns whether load() removed an incomplete write.
    bool hadTornTail() const { return m_tornTail; }
    std::size_t damagedSnapshots() const { return m_snapshots->damaged(); }

    void save(const hard_state &hardState);
    void append(std::span<const wire::log_entry> entries);
    // Stores a snapshot that was received from the leader, in place of the log.
    void installSnapshot(const log_snapshot &snapshot);
    // Stores this replica's own snapshot. May run on another thread, together with save() and
    // append() but with nothing else.
    void storeSnapshot(const log_snapshot &snapshot);
    // Removes the log segments that the older of the stored snapshots covers. Returns the index of
    // that snapshot, or 0 if there is none.
    log_index compactLog();
    std::uint64_t logBytes() const { return m_log->bytes(); }

    // Removes all data on an operator's request. The next start then repairs the replica: it joins
    // with a new incarnation.
    void discard();

private:
    void openStores();

    file_system &m_files;
    std::filesystem::path m_folder;
    std::uint64_t m_segmentBytes;
    std::unique_ptr<folder_lock> m_lock;
    replica_identity m_identity;
    std::unique_ptr<log_store> m_log;
    std::unique_ptr<snapshot_store> m_snapshots;
    hard_state m_hardState;
    bool m_tornTail = false;
};

} // namespace buckthorngrade
