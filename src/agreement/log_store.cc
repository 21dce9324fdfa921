#include "agreement/log_store.h"

#include "agreement/checked_file.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <xxhash.h>

namespace buckthorngrade {

namespace {

constexpr std::string_view segmentMagic = "BGLOG001";
constexpr std::string_view filePrefix = "log-";

// Segment header: magic, number, first index, incarnation, cluster hash, replica, flags, checksum.
constexpr std::size_t numberOffset = 8;
constexpr std::size_t firstIndexOffset = 16;
constexpr std::size_t incarnationOffset = 24;
constexpr std::size_t clusterOffset = 32;
constexpr std::size_t replicaOffset = 40;
constexpr std::size_t flagsOffset = 44;
constexpr std::size_t headerChecksumOffset = 48;
constexpr std::size_t headerBytes = 56;
constexpr std::uint32_t resetFlag = 1; // all entries of earlier segments are discarded

// Record: header (entry length, index, term, checksum of these), entry, checksum of the entry.
constexpr std::size_t recordIndexOffset = 8;
constexpr std::size_t recordTermOffset = 16;
constexpr std::size_t recordChecksumOffset = 24;
constexpr std::size_t recordHeaderBytes = 32;
constexpr std::size_t checksumBytes = 8;

std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

bool isZero(std::string_view bytes)
{
    return std::ranges::all_of(bytes, [](char c) { return c == '\0'; });
}

[[noreturn]] void throwCorruption(const std::filesystem::path &file, std::uint64_t offset,
                                  std::string_view what)
{
    throw storage_corruption(fmt::format("{} at byte {}: {}", file.string(), offset, what));
}

} // namespace

log_store::log_store(file_system &files, std::filesystem::path folder, storage_owner owner,
                     std::uint64_t segmentBytes)
    : m_files(files)
    , m_folder(std::move(folder))
    , m_owner(std::move(owner))
    , m_segmentBytes(segmentBytes)
{ }

std::filesystem::path log_store::segmentPath(std::uint64_t number) const
{
    return m_folder / fmt::format("{}{:020}", filePrefix, number);
}

std::uint64_t log_store::checksumSeed(std::uint64_t number, std::uint64_t offset) const
{
    const std::uint64_t parts[] = {m_owner.incarnation, number, offset};
    return XXH64(parts, sizeof parts, 0);
}

std::string log_store::makeHeader(std::uint64_t number, const segment &header) const
{
    std::string bytes(segmentMagic);
    putInteger<std::uint64_t>(bytes, number);
    putInteger<std::uint64_t>(bytes, header.firstIndex);
    putInteger<std::uint64_t>(bytes, m_owner.incarnation);
    putInteger<std::uint64_t>(bytes, hashOf(m_owner.cluster, 0));
    putInteger<std::uint32_t>(bytes, m_owner.replica);
    putInteger<std::uint32_t>(bytes, header.isReset ? resetFlag : 0);
    putInteger<std::uint64_t>(bytes, hashOf(bytes, 0));
    return bytes;
}

log_store::segment log_store::readHeader(std::uint64_t number, std::string_view bytes) const
{
    const std::filesystem::path file = segmentPath(number);
    if (bytes.size() < headerBytes)
        throwCorruption(file, bytes.size(), "the segment header is truncated");
    if (getInteger<std::uint64_t>(bytes, headerChecksumOffset)
        != hashOf(bytes.substr(0, headerChecksumOffset), 0))
        throwCorruption(file, 0, "the checksum of the segment header does not match");
    if (!bytes.starts_with(segmentMagic))
        throwCorruption(file, 0, "the file is not a log segment of this version");
    if (getInteger<std::uint64_t>(bytes, incarnationOffset) != m_owner.incarnation
        || getInteger<std::uint64_t>(bytes, clusterOffset) != hashOf(m_owner.cluster, 0)
        || getInteger<std::uint32_t>(bytes, replicaOffset) != m_owner.replica)
        throwCorruption(file, 0, "the segment belongs to another replica");
    if (getInteger<std::uint64_t>(bytes, numberOffset) != number)
        throwCorruption(file, 0, "the segment number does not match the file name");
    return {getInteger<std::uint64_t>(bytes, firstIndexOffset),
            getInteger<std::uint32_t>(bytes, flagsOffset) == resetFlag, bytes.size()};
}

std::string log_store::makeRecord(const wire::log_entry &entry, std::uint64_t offset) const
{
    const std::string body = entry.SerializeAsString();
    const std::uint64_t seed = checksumSeed(m_segments.rbegin()->first, offset);
    std::string bytes;
    bytes.reserve(recordHeaderBytes + body.size() + checksumBytes);
    putInteger<std::uint64_t>(bytes, body.size());
    putInteger<std::uint64_t>(bytes, entry.index());
    putInteger<std::uint64_t>(bytes, entry.term());
    putInteger<std::uint64_t>(bytes, hashOf(bytes, seed));
    bytes += body;
    putInteger<std::uint64_t>(bytes, hashOf(body, seed));
    return bytes;
}

std::uint64_t log_store::readRecords(std::uint64_t number, std::string_view bytes, bool isLast,
                                     log_contents &contents) const
{
    const std::filesystem::path file = segmentPath(number);
    std::uint64_t offset = headerBytes;
    while (offset < bytes.size()) {
        const std::string_view rest = bytes.substr(offset);
        const std::uint64_t seed = checksumSeed(number, offset);
        const auto stopAtIncompleteRecord = [&](std::string_view what) {
            if (!isLast)
                throwCorruption(file, offset, what);
            contents.tornTail = true;
            return offset;
        };
        if (isZero(rest))
            return stopAtIncompleteRecord("a segment other than the last one ends with zeros");
        if (rest.size() < recordHeaderBytes)
            return stopAtIncompleteRecord("a segment other than the last one ends within a record");
        if (getInteger<std::uint64_t>(rest, recordChecksumOffset)
            != hashOf(rest.substr(0, recordChecksumOffset), seed))
            throwCorruption(file, offset, "the checksum of a record header does not match");
        const auto length = getInteger<std::uint64_t>(rest, 0);
        if (rest.size() - recordHeaderBytes < checksumBytes
            || length > rest.size() - recordHeaderBytes - checksumBytes)
            return stopAtIncompleteRecord("a segment other than the last one ends within a record");
        const std::string_view body = rest.substr(recordHeaderBytes, length);
        if (getInteger<std::uint64_t>(rest, recordHeaderBytes + length) != hashOf(body, seed))
            throwCorruption(file, offset, "the checksum of an entry does not match");
        wire::log_entry entry;
        if (!entry.ParseFromArray(body.data(), static_cast<int>(body.size()))
            || entry.index() != getInteger<std::uint64_t>(rest, recordIndexOffset)
            || entry.term() != getInteger<std::uint64_t>(rest, recordTermOffset))
            throwCorruption(file, offset, "an entry does not match its record header");

        const log_index next = contents.firstIndex + contents.entries.size();
        if (entry.index() < contents.firstIndex || entry.index() > next)
            throwCorruption(file, offset, "an entry is out of order");
        contents.entries.resize(entry.index() - contents.firstIndex);
        if (!contents.entries.empty() && entry.term() < contents.entries.back().term())
            throwCorruption(file, offset,
                            "the term of an entry is lower than that of the previous entry");
        contents.entries.push_back(std::move(entry));
        offset += recordHeaderBytes + length + checksumBytes;
    }
    return offset;
}

std::map<std::uint64_t, std::string> log_store::readFiles()
{
    std::map<std::uint64_t, std::string> files;
    for (const std::string &name : m_files.list(m_folder)) {
        if (!name.starts_with(filePrefix))
            continue;
        std::uint64_t number = 0;
        const char *end = name.data() + name.size();
        const auto parsed = std::from_chars(name.data() + filePrefix.size(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            throwCorruption(m_folder / name, 0, "the segment file name is invalid");
        files[number] = m_files.read(m_folder / name);
    }
    return files;
}

log_contents log_store::load(log_position synced)
{
    std::map<std::uint64_t, std::string> files = readFiles();
    log_contents contents;
    if (files.empty())
        throwCorruption(m_folder, 0, "the folder contains no log segments");
    const auto [lastNumber, lastBytes] = *files.rbegin();
    if (lastNumber < synced.segment
        || (lastNumber == synced.segment && lastBytes.size() < synced.offset))
        throwCorruption(segmentPath(lastNumber), lastBytes.size(),
                        "the log ends before the last synced position");
    // The creation of the last segment did not finish, so none of its entries was acknowledged.
    if (files.size() > 1 && (lastBytes.size() < headerBytes || isZero(lastBytes))) {
        m_files.remove(segmentPath(lastNumber));
        m_files.syncFolder(m_folder);
        files.erase(lastNumber);
        contents.tornTail = true;
    }

    m_segments.clear();
    std::vector<std::uint64_t> discarded;
    for (const auto &[number, bytes] : files) {
        const segment header = readHeader(number, bytes);
        if (header.isReset) {
            for (const auto &[old, ignored] : m_segments)
                discarded.push_back(old);
            m_segments.clear();
            contents.entries.clear();
            contents.firstIndex = header.firstIndex;
        } else if (m_segments.empty()) {
            contents.firstIndex = header.firstIndex;
        }
        m_segments[number] = header;
    }
    std::uint64_t expected = m_segments.begin()->first;
    for (auto &[number, header] : m_segments) {
        if (number != expected)
            throwCorruption(segmentPath(expected), 0, "a segment is missing");
        ++expected;
        if (header.firstIndex != contents.firstIndex + contents.entries.size())
            throwCorruption(segmentPath(number), 0,
                            "the first index of a segment does not follow the previous entry");
        const bool isLast = number == m_segments.rbegin()->first;
        header.size = readRecords(number, files[number], isLast, contents);
    }
    const auto &[activeNumber, active] = *m_segments.rbegin();
    if (log_position{activeNumber, active.size} < synced)
        throwCorruption(segmentPath(activeNumber), active.size,
                        "the log ends before the last synced position");
    for (const std::uint64_t number : discarded)
        m_files.remove(segmentPath(number));
    if (!discarded.empty())
        m_files.syncFolder(m_folder);
    m_active = m_files.open(segmentPath(activeNumber), active.size);
    // Entries that were read may never have been synced. They are synced now, because the replica
    // acts on them.
    m_active->sync();
    m_synced = {activeNumber, active.size};
    m_lastIndex = contents.firstIndex + contents.entries.size() - 1;
    return contents;
}

void log_store::create()
{
    startSegment(1, false);
}

void log_store::startSegment(log_index firstIndex, bool isReset)
{
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
    const segment header{firstIndex, isReset, headerBytes};
    auto file = m_files.create(segmentPath(number));
    file->append(makeHeader(number, header));
    file->sync();
    m_files.syncFolder(m_folder);
    m_active = std::move(file);
    m_segments[number] = header;
    m_synced = {number, headerBytes};
    m_segmentStarted = true;
}

void log_store::append(std::span<const wire::log_entry> entries)
{
    std::string bytes;
    for (const wire::log_entry &entry : entries) {
        if (m_segments.rbegin()->second.size >= m_segmentBytes) {
            m_active->append(bytes);
            bytes.clear();
            m_active->sync();
            startSegment(m_lastIndex + 1, false);
        }
        segment &active = m_segments.rbegin()->second;
        const std::string record = makeRecord(entry, active.size);
        active.size += record.size();
        bytes += record;
        m_lastIndex = entry.index();
    }
    if (!bytes.empty())
        m_active->append(bytes);
}

void log_store::sync()
{
    m_active->sync();
    m_synced = {m_segments.rbegin()->first, m_segments.rbegin()->second.size};
}

void log_store::reset(log_index firstIndex)
{
    const std::map<std::uint64_t, segment> old = m_segments;
    startSegment(firstIndex, true);
    m_lastIndex = firstIndex - 1;
    for (const auto &[number, ignored] : old) {
        m_files.remove(segmentPath(number));
        m_segments.erase(number);
    }
    m_files.syncFolder(m_folder);
}

void log_store::removeSegmentsUpTo(log_index index)
{
    while (m_segments.size() > 1 && std::next(m_segments.begin())->second.firstIndex <= index + 1) {
        m_files.remove(segmentPath(m_segments.begin()->first));
        // Synced after each removal, because a later removal must not become durable before an
        // earlier one.
        m_files.syncFolder(m_folder);
        m_segments.erase(m_segments.begin());
    }
}

std::uint64_t log_store::bytes() const
{
    std::uint64_t total = 0;
    for (const auto &[number, kept] : m_segments)
        total += kept.size;
    return total;
}

} // namespace buckthorngrade
