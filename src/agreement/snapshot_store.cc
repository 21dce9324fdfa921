#include "agreement/snapshot_store.h"

#include "agreement/checked_file.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr std::string_view snapshotMagic = "BGSNAP01";
constexpr std::string_view filePrefix = "snapshot-";
constexpr std::size_t maxSnapshots = 2;

} // namespace

snapshot_store::snapshot_store(file_system &files, std::filesystem::path folder,
                               storage_owner owner)
    : m_files(files)
    , m_folder(std::move(folder))
    , m_owner(std::move(owner))
{ }

std::filesystem::path snapshot_store::snapshotPath(log_index index) const
{
    return m_folder / fmt::format("{}{:020}", filePrefix, index);
}

std::vector<std::shared_ptr<const log_snapshot>> snapshot_store::load()
{
    std::vector<std::shared_ptr<const log_snapshot>> result;
    m_damaged.clear();
    for (const std::string &name : m_files.list(m_folder)) {
        if (!name.starts_with(filePrefix) || name.ends_with(temporarySuffix))
            continue;
        const std::filesystem::path file = m_folder / name;
        wire::stored_snapshot stored;
        try {
            if (!stored.ParseFromString(readCheckedFile(m_files, file, snapshotMagic)))
                throw storage_corruption(file.string() + ": the file is not a snapshot");
        } catch (const storage_corruption &) {
            m_damaged.push_back(file);
            continue;
        }
        if (stored.incarnation() != m_owner.incarnation || snapshotPath(stored.index()) != file)
            throw storage_corruption(file.string() + ": the snapshot belongs to another replica");
        auto snapshot = std::make_shared<log_snapshot>();
        snapshot->index = stored.index();
        snapshot->term = stored.term();
        snapshot->members = stored.members();
        snapshot->data = std::move(*stored.mutable_data());
        result.push_back(std::move(snapshot));
    }
    if (result.empty() && !m_damaged.empty())
        throw storage_corruption(m_damaged.back().string() + ": the only snapshot is damaged");
    m_snapshotIndexes.clear();
    for (const auto &snapshot : result)
        m_snapshotIndexes.push_back(snapshot->index);
    return result;
}

void snapshot_store::removeDamaged()
{
    for (const std::filesystem::path &file : m_damaged)
        m_files.remove(file);
}

void snapshot_store::save(const log_snapshot &snapshot)
{
    wire::stored_snapshot stored;
    stored.set_index(snapshot.index);
    stored.set_term(snapshot.term);
    *stored.mutable_members() = snapshot.members;
    stored.set_data(snapshot.data);
    stored.set_incarnation(m_owner.incarnation);
    writeCheckedFile(m_files, snapshotPath(snapshot.index), snapshotMagic,
                     stored.SerializeAsString());
    if (m_snapshotIndexes.empty() || m_snapshotIndexes.back() != snapshot.index)
        m_snapshotIndexes.push_back(snapshot.index);
    bool removed = false;
    while (m_snapshotIndexes.size() > maxSnapshots) {
        m_files.remove(snapshotPath(m_snapshotIndexes.front()));
        m_snapshotIndexes.erase(m_snapshotIndexes.begin());
        removed = true;
    }
    if (removed)
        m_files.syncFolder(m_folder);
}

} // namespace buckthorngrade
