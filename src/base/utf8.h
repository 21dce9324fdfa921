#pragma once

#include <string_view>

namespace buckthorngrade {

// True if `text` is well-formed UTF-8. Protobuf serializes malformed text without complaint, but
// the receiver then rejects the whole message.
bool isUtf8(std::string_view text);

// True if `text` has only visible ASCII characters.
bool isVisibleAscii(std::string_view text);

} // namespace buckthorngrade
