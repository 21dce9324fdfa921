#include "agreement/checked_file.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace buckthorngrade {

namespace {

constexpr std::size_t magicBytes = 8;
constexpr std::size_t headBytes = magicBytes + sizeof(std::uint64_t);
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

} // namespace

void writeCheckedFile(file_system &files, const std::filesystem::path &file, std::string_view magic,
                      std::string_view payload)
{
    std::string bytes(magic);
    putInteger<std::uint64_t>(bytes, payload.size());
    bytes += payload;
    putInteger<std::uint64_t>(bytes, XXH64(bytes.data(), bytes.size(), 0));

    std::filesystem::path temporary = file;
    temporary += temporaryEnding;
    {
        const auto written = files.create(temporary);
        written->append(bytes);
        written->sync();
    }
    files.rename(temporary, file);
    files.syncFolder(file.parent_path());
}

std::string readCheckedFile(file_system &files, const std::filesystem::path &file,
                            std::string_view magic)
{
    const std::string bytes = files.read(file);
    const auto damaged = [&](std::string_view what) {
        return storage_corruption(fmt::format("{}: {}", file.string(), what));
    };
    if (bytes.size() < headBytes + checksumBytes)
        throw damaged("the file is too short");
    if (bytes.compare(0, magicBytes, magic) != 0)
        throw damaged("the file is of another kind");
    if (getInteger<std::uint64_t>(bytes, magicBytes) != bytes.size() - headBytes - checksumBytes)
        throw damaged("the length does not match");
    const std::size_t end = bytes.size() - checksumBytes;
    if (getInteger<std::uint64_t>(bytes, end) != XXH64(bytes.data(), end, 0))
        throw damaged("the checksum does not match");
    return bytes.substr(headBytes, end - headBytes);
}

} // namespace buckthorngrade
