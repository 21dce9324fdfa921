#include "base/utf8.h"

#include <Poco/UTF8Encoding.h>

#include <algorithm>

namespace buckthorngrade {

bool isUtf8(std::string_view text)
{
    const Poco::UTF8Encoding encoding;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    std::size_t at = 0;
    while (at < text.size()) {
        const int length = encoding.sequenceLength(bytes + at, 1);
        if (length <= 0 || static_cast<std::size_t>(length) > text.size() - at
            || !Poco::UTF8Encoding::isLegal(bytes + at, length))
            return false;
        at += static_cast<std::size_t>(length);
    }
    return true;
}

bool isVisibleAscii(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

} // namespace buckthorngrade
