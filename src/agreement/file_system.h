#pragma once

#include "agreement/replicator.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// A file operation failed. After any of these the state of the file is unknown.
class storage_error : public agreement_error
{
public:
    using agreement_error::agreement_error;
};

// The disk is full. The data may have been written in part.
class storage_full : public storage_error
{
public:
    using storage_error::storage_error;
};

// Stored data that is damaged, missing or belongs to another replica.
class storage_corruption : public agreement_error
{
public:
    using agreement_error::agreement_error;
};

// A file that is open for appending.
class append_file
{
public:
    virtual ~append_file() = default;
    // Throws storage_error; a part of `bytes` may have been written.
    virtual void append(std::string_view bytes) = 0;
    // Makes the appended data durable. A new file's name is durable only after
    // file_system::syncFolder. After a storage_error the file must not be used again, because a
    // later sync may report success although data was lost.
    virtual void sync() = 0;
};

// Holds the lock of a folder until it is destroyed.
class folder_lock
{
public:
    virtual ~folder_lock() = default;
};

// File operations of the storage classes. Tests replace them to inject failures between any two
// operations. All operations throw storage_error. Different threads may use different files at the
// same time.
class file_system
{
public:
    using path = std::filesystem::path;

    virtual ~file_system() = default;
    // Creates a file, or truncates an existing one to zero bytes.
    virtual std::unique_ptr<append_file> create(const path &file) = 0;
    // Opens an existing file and truncates it to `size` bytes. The truncation is durable after
    // sync().
    virtual std::unique_ptr<append_file> open(const path &file, std::uint64_t size) = 0;
    virtual std::string read(const path &file) = 0;
    // Returns the sorted names of the files in a folder; empty if the folder does not exist.
    virtual std::vector<std::string> list(const path &folder) = 0;
    virtual void createFolder(const path &folder) = 0;
    virtual void rename(const path &from, const path &to) = 0;
    virtual void remove(const path &file) = 0;
    // Makes creations, renames and removals in the folder durable.
    virtual void syncFolder(const path &folder) = 0;
    // Locks the folder against other processes. Throws storage_error if another process holds the
    // lock.
    virtual std::unique_ptr<folder_lock> lock(const path &folder) = 0;
};

} // namespace buckthorngrade
