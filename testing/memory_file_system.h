#pragma once

#include "agreement/file_system.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace buckthorngrade {

// Thrown by the operation at which a simulated crash happens, and by all later ones until
// restart().
class simulated_crash : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// File system in memory that loses what was not synced. Thread-safe.
//
// File contents are durable after a sync of the file, names after a sync of the folder. On a crash,
// an unsynced extension of a file is lost, kept, cut short or replaced by zeros; of the changes of
// names that were not synced, the first few are kept, as journaling file systems keep them in
// order.
class memory_file_system final : public file_system
{
public:
    enum class fault { none, disk_full, failed_sync };
    enum class lost { all, nothing, random };

    std::unique_ptr<append_file> create(const path &file) override;
    std::unique_ptr<append_file> open(const path &file, std::uint64_t size) override;
    std::string read(const path &file) override;
    std::vector<std::string> list(const path &folder) override;
    void createFolder(const path &folder) override;
    void rename(const path &from, const path &to) override;
    void remove(const path &file) override;
    void syncFolder(const path &folder) override;
    std::unique_ptr<folder_lock> lock(const path &folder) override;

    // Operations that change something, since construction.
    std::uint64_t operations() const;
    // The operation with this number, counted like operations(), crashes after a part of its
    // effect.
    void crashAt(std::uint64_t operation);
    // Writes fail with a short write, or syncs fail, from now on until called with `none`. A failed
    // sync leaves the data readable but never makes it durable, even if a later sync succeeds.
    void setFault(fault kind);
    // Comes back from a crash, or crashes now.
    void restart(lost unsynced, std::uint64_t seed);
    // Inverts one bit, durably.
    void flipBit(const path &file, std::uint64_t bit);
    // Replaces the contents, durably.
    void overwrite(const path &file, std::string contents);
    // Moves everything to another file system.
    void copyTo(memory_file_system &other) const;
    std::vector<path> allFiles() const;

private:
    class file;
    friend class file;

    struct inode
    {
        std::string durable;
        std::string current;
        bool syncFailed = false;
    };
    using directory = std::map<path, std::shared_ptr<inode>>;

    // Counts an operation; returns true if the crash happens here.
    bool count();
    void change(const std::function<void(directory &)> &operation);
    std::shared_ptr<inode> find(const path &file) const;
    void append(inode &target, std::string_view bytes);
    void sync(inode &target);
    std::string survivor(const inode &target, lost unsynced, std::mt19937_64 &random) const;

    mutable std::mutex m_mutex;
    directory m_current;
    directory m_durable;
    std::vector<std::function<void(directory &)>> m_unsyncedChanges;
    std::uint64_t m_operations = 0;
    std::uint64_t m_crashAt = 0; // 0: never
    bool m_crashed = false;
    fault m_fault = fault::none;
};

} // namespace buckthorngrade
