#pragma once

#include "agreement/file_system.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// A small file that is replaced as a whole: written under a temporary name, synced, renamed, and
// then the folder is synced. Format: 8 bytes of magic, the payload's length, the payload, and an
// xxhash64 of all that, little-endian.

// `magic` has 8 bytes and tells the kinds of files apart. Throws storage_error.
void writeCheckedFile(file_system &files, const std::filesystem::path &file, std::string_view magic,
                      std::string_view payload);
// Throws storage_corruption if any byte is not as it was written.
std::string readCheckedFile(file_system &files, const std::filesystem::path &file,
                            std::string_view magic);

// Ending of the temporary name.
inline constexpr std::string_view temporaryEnding = ".tmp";

// Fixed-width little-endian integers.
template <typename T>
void putInteger(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

// `bytes` must have sizeof(T) bytes at `offset`.
template <typename T>
T getInteger(std::string_view bytes, std::size_t offset)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return value;
}

} // namespace buckthorngrade
