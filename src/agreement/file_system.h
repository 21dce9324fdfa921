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

// The disk is full; nothing or a part was written.
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
    // Makes what was appended durable; the name also needs file_system::syncFolder. Throws
    // storage_error, after which the file must not be used again: a later sync may report success
    // although data was lost.
    virtual void sync() = 0;
};

// Holds the lock of a folder until it is destroyed.
class folder_lock
{
public:
    virtual ~folder_lock() = default;
};

// The file operations that storage needs, so that tests can put failures between any two of them.
// All throw storage_error. Threads may work on different files at the same time.
class file_system
{
public:
    using path = std::filesystem::path;

    virtual ~file_system() = default;
    // Creates a file, or empties it.
    virtual std::unique_ptr<append_file> create(const path &file) = 0;
    // Opens an existing file, cut to `size` bytes; the cut is durable after sync().
    virtual std::unique_ptr<append_file> open(const path &file, std::uint64_t size) = 0;
    virtual std::string read(const path &file) = 0;
    // Names of the files in a folder, ordered; empty if the folder does not exist.
    virtual std::vector<std::string> list(const path &folder) = 0;
    virtual void createFolder(const path &folder) = 0;
    virtual void rename(const path &from, const path &to) = 0;
    virtual void remove(const path &file) = 0;
    // Makes creations, renames and removals in the folder durable.
    virtual void syncFolder(const path &folder) = 0;
    // Keeps other processes from using the folder. Throws storage_error if one does.
    virtual std::unique_ptr<folder_lock> lock(const path &folder) = 0;
};

} // namespace buckthorngrade
