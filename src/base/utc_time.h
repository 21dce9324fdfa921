#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// RFC 3339 in UTC with milliseconds: "2026-12-04T07:00:00.000Z".
std::string formatUtcTime(wall_time time);
// Reads the same form, with or without a fraction of a second. Empty if it is malformed.
std::optional<wall_time> parseUtcTime(std::string_view text);

} // namespace buckthorngrade
