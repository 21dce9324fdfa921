#pragma once

#include "agreement.pb.h"
#include "agreement/file_system.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace buckthorngrade {

// Identifies the replica that a file belongs to. It is stored in every file so that files of
// another replica are rejected.
struct storage_owner
{
    std::string cluster;
    replica_id replica = 0;
    std::uint64_t incarnation = 0;
};

struct log_position
{
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    auto operator<=>(const log_position &) const = default;
};

struct log_contents
{
    log_index firstIndex = 1; // index of the first entry, or of the next one if there are none
    std::deque<wire::log_entry> entries;
    bool tornTail = false; // an incomplete write at the end was removed
};

// Stores the log in a sequence of append-only segment files. An appended entry whose index is not
// above the last one replaces the entry with that index and all later ones, so files are never
// truncated except to remove an incomplete write.
//
// A segment starts with a header: magic, sequence number, first index, owner, flags, checksum. A
// record has a header (length, index, term, checksum of these), the entry as protobuf, and a
// checksum of the entry. The record header has its own checksum because a corrupted length would
// otherwise look like an incomplete write. Both checksums are seeded with the record's position.
//
// A record may be incomplete only at the end of the last segment, where it is either truncated or
// followed by nothing but zeros. Every other mismatch is corruption. This includes a checksum
// mismatch in a complete last record, because that record may have been acknowledged.
class log_store
{
public:
    log_store(file_system &files, std::filesystem::path folder, storage_owner owner,
              std::uint64_t segmentBytes);

    // Creates an empty log. Durable when it returns.
    void create();
    // Reads the log. Throws storage_corruption if it is damaged or ends before `synced`.
    log_contents load(log_position synced);
    // Entries are durable after sync(). Each index must be at most one above the previous last one.
    void append(std::span<const wire::log_entry> entries);
    void sync();
    // Discards all entries; the next entry has `firstIndex`. Durable when it returns.
    void reset(log_index firstIndex);
    // Removes the segments whose entries are all at or below `index`.
    void removeSegmentsUpTo(log_index index);

    log_position syncedPosition() const { return m_synced; }
    std::uint64_t bytes() const;
    // Returns whether a segment was started since the last call.
    bool takeSegmentStarted() { return std::exchange(m_segmentStarted, false); }

private:
    struct segment
    {
        log_index firstIndex = 0;
        bool isReset = false;
        std::uint64_t size = 0;
    };

    std::filesystem::path segmentPath(std::uint64_t number) const;
    std::uint64_t checksumSeed(std::uint64_t number, std::uint64_t offset) const;
    std::string makeHeader(std::uint64_t number, const segment &header) const;
    segment readHeader(std::uint64_t number, std::string_view bytes) const;
    std::string makeRecord(const wire::log_entry &entry, std::uint64_t offset) const;
    // Adds the entries of a segment to `contents`. Returns the length of the segment's valid part.
    std::uint64_t readRecords(std::uint64_t number, std::string_view bytes, bool isLast,
                              log_contents &contents) const;
    std::map<std::uint64_t, std::string> readFiles();
    void startSegment(log_index firstIndex, bool isReset);

    file_system &m_files;
    std::filesystem::path m_folder;
    storage_owner m_owner;
    std::uint64_t m_segmentBytes;
    std::map<std::uint64_t, segment> m_segments; // by sequence number
    std::unique_ptr<append_file> m_active;
    log_index m_lastIndex = 0;
    log_position m_synced;
    bool m_segmentStarted = false;
};

} // namespace buckthorngrade
