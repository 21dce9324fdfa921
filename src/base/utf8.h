#pragma once

#include <string_view>

namespace buckthorngrade {

// Returns whether `text` is well-formed UTF-8. Protobuf serializes malformed text without an error,
// but the receiver then rejects the whole message.
bool isUtf8(std::string_view text);

// Returns whether `text` contains only visible ASCII characters.
bool isVisibleAscii(std::string_view text);

} // namespace buckthorngrade
