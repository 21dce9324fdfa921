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
    wire::membership founders; // with founding: all founding members, incarnations not recorded
};

// Everything that a replica keeps in its data folder: identity, hard state, log and snapshots.
// Every change is durable when the call returns. After an exception of a change the object must not
// be used any more; the folder is valid and is read again at the next start.
class replica_storage
{
public:
    // Locks the folder, creating it if needed.
    replica_storage(file_system &files, const std::filesystem::path &folder,
                    std::uint64_t segmentBytes);

    // False for a folder that has never been initialized completely. Throws storage_corruption if
    // the identity is missing but log entries or snapshots are there.
    bool hasIdentity();
    // Creates the files of a new incarnation.
    void initialize(const replica_identity &identity);
    // Reads everything. Throws storage_corruption if anything is damaged or missing, or if the
    // folder belongs to another cluster or replica.
    core_state load(const std::string &cluster, replica_id replica);
    const replica_identity &identity() const { return m_identity; }
    // An unfinished write was removed by load().
    bool hadTornTail() const { return m_tornTail; }
    std::size_t damagedSnapshots() const { return m_snapshots->damaged(); }

    void save(const hard_state &hard);
    void append(std::span<const wire::log_entry> entries);
    // Replaces the log by a snapshot that came from the leader.
    void install(const log_snapshot &snapshot);
    // Stores this replica's own snapshot. May run on another thread, together with save() and
    // append() but with nothing else.
    void storeSnapshot(const log_snapshot &snapshot);
    // Drops the log before the older snapshot kept, and returns that one's index.
    log_index dropLog();
    std::uint64_t logBytes() const { return m_log->bytes(); }

    // Removes all data, on an operator's request, so that the next start is a repair.
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
    hard_state m_hard;
    bool m_tornTail = false;
};

} // namespace buckthorngrade
