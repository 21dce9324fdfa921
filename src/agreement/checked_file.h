#pragma once

#include "agreement/file_system.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Atomically replaces a whole file: the content is written under a temporary name and synced, the
// file is renamed, and the folder is synced. Format: 8 bytes of magic, the payload's length, the
// payload, and an xxhash64 of everything before it; integers are little-endian.

// `magic` must have 8 bytes; it identifies the file type. Throws storage_error.
void writeCheckedFile(file_system &files, const std::filesystem::path &file, std::string_view magic,
                      std::string_view payload);
// Returns the payload. Throws storage_corruption if the file type, the length or the checksum does
// not match.
std::string readCheckedFile(file_system &files, const std::filesystem::path &file,
                            std::string_view magic);

// Suffix of the temporary name.
inline constexpr std::string_view temporarySuffix = ".tmp";

// Appends `value` as a fixed-width little-endian integer.
template <typename T>
void putInteger(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

// Decodes a fixed-width little-endian integer. `bytes` must have sizeof(T) bytes at `offset`.
template <typename T>
T getInteger(std::string_view bytes, std::size_t offset)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return value;
}

} // namespace buckthorngrade
