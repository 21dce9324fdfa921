#include "agreement/replica_storage.h"

#include "agreement/checked_file.h"

#include <algorithm>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr std::string_view identityMagic = "BGIDENT1";
constexpr std::string_view hardStateMagic = "BGHARD01";
constexpr const char *identityFileName = "identity";
constexpr const char *hardStateFileName = "hard-state";
// Size of the first segment without entries, which initialize() creates before the identity file.
constexpr std::uint64_t emptySegmentBytes = 56;

// Returns whether the log contains the entry at the snapshot's index or starts right after it.
bool isContiguous(const log_contents &log, const log_snapshot &snapshot)
{
    const log_index last = log.firstIndex + log.entries.size() - 1;
    if (log.firstIndex > snapshot.index + 1 || last < snapshot.index)
        return false;
    return snapshot.index < log.firstIndex
        || log.entries[snapshot.index - log.firstIndex].term() == snapshot.term;
}

} // namespace

replica_storage::replica_storage(file_system &files, const std::filesystem::path &folder,
                                 std::uint64_t segmentBytes)
    : m_files(files)
    , m_folder(folder)
    , m_segmentBytes(segmentBytes)
{
    m_files.createFolder(m_folder);
    m_lock = m_files.lock(m_folder);
}

bool replica_storage::hasIdentity()
{
    const std::vector<std::string> names = m_files.list(m_folder);
    const bool found = std::ranges::find(names, identityFileName) != names.end();
    const bool hasData = std::ranges::any_of(names, [this](const std::string &name) {
        return name.starts_with("snapshot-")
            || (name.starts_with("log-")
                && m_files.read(m_folder / name).size() > emptySegmentBytes);
    });
    if (!found && hasData)
        throw storage_corruption(m_folder.string()
                                 + ": the folder contains data but no identity file");
    return found;
}

void replica_storage::openStores()
{
    m_log = std::make_unique<log_store>(m_files, m_folder, m_identity.owner, m_segmentBytes);
    m_snapshots = std::make_unique<snapshot_store>(m_files, m_folder, m_identity.owner);
}

void replica_storage::initialize(const replica_identity &identity)
{
    // Removes files of an initialization that did not finish.
    for (const std::string &name : m_files.list(m_folder))
        m_files.remove(m_folder / name);
    m_identity = identity;
    openStores();
    m_log->create();
    save(hard_state());
    wire::stored_identity stored;
    stored.set_cluster(identity.owner.cluster);
    stored.set_replica(identity.owner.replica);
    stored.set_incarnation(identity.owner.incarnation);
    stored.set_founding(identity.founding);
    *stored.mutable_founders() = identity.founders;
    // Written last, because its presence marks the folder as completely initialized.
    writeCheckedFile(m_files, m_folder / identityFileName, identityMagic,
                     stored.SerializeAsString());
}

core_state replica_storage::load(const std::string &cluster, replica_id replica)
{
    wire::stored_identity stored;
    if (!stored.ParseFromString(
            readCheckedFile(m_files, m_folder / identityFileName, identityMagic)))
        throw storage_corruption(m_folder.string() + ": the identity file is invalid");
    if (stored.cluster() != cluster || stored.replica() != replica)
        throw storage_corruption(fmt::format("{}: the folder belongs to replica {} of cluster "
                                             "'{}', not to replica {} of cluster '{}'",
                                             m_folder.string(), stored.replica(), stored.cluster(),
                                             replica, cluster));
    m_identity.owner = {stored.cluster(), stored.replica(), stored.incarnation()};
    m_identity.founding = stored.founding();
    m_identity.founders = stored.founders();
    for (const std::string &name : m_files.list(m_folder))
        if (name.ends_with(temporarySuffix))
            m_files.remove(m_folder / name);
    openStores();

    wire::stored_hard_state hardState;
    const auto hardFile = m_folder / hardStateFileName;
    const std::vector<std::string> names = m_files.list(m_folder);
    if (std::ranges::find(names, hardStateFileName) == names.end())
        throw storage_corruption(hardFile.string() + ": the file is missing");
    if (!hardState.ParseFromString(readCheckedFile(m_files, hardFile, hardStateMagic))
        || hardState.incarnation() != stored.incarnation())
        throw storage_corruption(hardFile.string() + ": the file belongs to another replica");
    m_hardState = {hardState.term(), hardState.voted_for(), hardState.voted_incarnation()};

    const auto snapshots = m_snapshots->load();
    log_contents log = m_log->load({hardState.log_segment(), hardState.log_offset()});
    m_tornTail = log.tornTail;

    core_state state;
    state.hardState = m_hardState;
    state.baseMembers = m_identity.founders;
    if (snapshots.empty()) {
        if (log.firstIndex != 1)
            throw storage_corruption(
                m_folder.string() + ": the log does not start at index 1 and there is no snapshot");
    } else {
        state.snapshot = snapshots.back();
        if (log.firstIndex > state.snapshot->index + 1)
            throw storage_corruption(m_folder.string()
                                     + ": the log does not reach back to a valid snapshot");
        if (!isContiguous(log, *state.snapshot)) {
            // The process stopped between storing the leader's snapshot and resetting the log.
            m_log->reset(state.snapshot->index + 1);
            save(m_hardState);
            log = {state.snapshot->index + 1, {}, log.tornTail};
        }
        const auto base = std::ranges::find_if(
            snapshots, [&](const auto &snapshot) { return isContiguous(log, *snapshot); });
        state.baseIndex = (*base)->index;
        state.baseTerm = (*base)->term;
        state.baseMembers = (*base)->members;
    }
    while (!log.entries.empty() && log.entries.front().index() <= state.baseIndex)
        log.entries.pop_front();
    const std::uint64_t lastTerm = log.entries.empty() ? state.baseTerm : log.entries.back().term();
    if (lastTerm > m_hardState.term)
        throw storage_corruption(hardFile.string()
                                 + ": the term is lower than that of the last log entry");
    state.entries = std::move(log.entries);
    m_snapshots->removeDamaged();
    // If the process stopped between a rename and the sync of the folder, names may be visible but
    // not durable.
    m_files.syncFolder(m_folder);
    return state;
}

void replica_storage::save(const hard_state &hardState)
{
    const log_position synced = m_log->syncedPosition();
    wire::stored_hard_state stored;
    stored.set_term(hardState.term);
    stored.set_voted_for(hardState.votedFor);
    stored.set_voted_incarnation(hardState.votedIncarnation);
    stored.set_log_segment(synced.segment);
    stored.set_log_offset(synced.offset);
    stored.set_incarnation(m_identity.owner.incarnation);
    writeCheckedFile(m_files, m_folder / hardStateFileName, hardStateMagic,
                     stored.SerializeAsString());
    m_hardState = hardState;
    m_log->takeSegmentStarted();
}

void replica_storage::append(std::span<const wire::log_entry> entries)
{
    m_log->append(entries);
    m_log->sync();
    if (m_log->takeSegmentStarted())
        save(m_hardState);
}

void replica_storage::installSnapshot(const log_snapshot &snapshot)
{
    m_snapshots->save(snapshot);
    m_log->reset(snapshot.index + 1);
    save(m_hardState);
}

void replica_storage::storeSnapshot(const log_snapshot &snapshot)
{
    m_snapshots->save(snapshot);
}

log_index replica_storage::compactLog()
{
    const log_index older = m_snapshots->olderIndex();
    m_log->removeSegmentsUpTo(older);
    return older;
}

void replica_storage::discard()
{
    const std::vector<std::string> names = m_files.list(m_folder);
    if (std::ranges::find(names, identityFileName) != names.end()) {
        m_files.remove(m_folder / identityFileName);
        m_files.syncFolder(m_folder);
    }
    for (const std::string &name : names)
        if (name != identityFileName)
            m_files.remove(m_folder / name);
    m_files.syncFolder(m_folder);
}

} // namespace buckthorngrade
