#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Formats a time as RFC 3339 in UTC with milliseconds, for example "2026-12-04T07:00:00.000Z".
std::string formatUtcTime(wall_time time);
// Parses the same format with an optional fraction of up to six digits. Returns nullopt if it is
// malformed.
std::optional<wall_time> parseUtcTime(std::string_view text);

} // namespace buckthorngrade
