#include "agreement/checked_file.h"

#include <memory>

#include <fmt/format.h>
#include <xxhash.h>

namespace buckthorngrade {

namespace {

constexpr std::size_t magicBytes = 8;
constexpr std::size_t headerBytes = magicBytes + sizeof(std::uint64_t);
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

} // namespace

void writeCheckedFile(file_system &files, const std::filesystem::path &file, std::string_view magic,
                      std::string_view payload)
{
    std::string header(magic);
    putInteger<std::uint64_t>(header, payload.size());
    // The parts are hashed and written separately to avoid a copy of a large snapshot.
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash(XXH64_createState(),
                                                                          XXH64_freeState);
    XXH64_reset(hash.get(), 0);
    XXH64_update(hash.get(), header.data(), header.size());
    XXH64_update(hash.get(), payload.data(), payload.size());
    std::string checksum;
    putInteger<std::uint64_t>(checksum, XXH64_digest(hash.get()));

    std::filesystem::path temporary = file;
    temporary += temporarySuffix;
    {
        const auto written = files.create(temporary);
        written->append(header);
        written->append(payload);
        written->append(checksum);
        written->sync();
    }
    files.rename(temporary, file);
    files.syncFolder(file.parent_path());
}

std::string readCheckedFile(file_system &files, const std::filesystem::path &file,
                            std::string_view magic)
{
    const std::string bytes = files.read(file);
    const auto corruption = [&](std::string_view what) {
        return storage_corruption(fmt::format("{}: {}", file.string(), what));
    };
    if (bytes.size() < headerBytes + checksumBytes)
        throw corruption("the file is too short");
    if (bytes.compare(0, magicBytes, magic) != 0)
        throw corruption("the magic number does not match the file type");
    if (getInteger<std::uint64_t>(bytes, magicBytes) != bytes.size() - headerBytes - checksumBytes)
        throw corruption("the payload length does not match the file size");
    const std::size_t end = bytes.size() - checksumBytes;
    if (getInteger<std::uint64_t>(bytes, end) != XXH64(bytes.data(), end, 0))
        throw corruption("the checksum does not match");
    return bytes.substr(headerBytes, end - headerBytes);
}

} // namespace buckthorngrade
