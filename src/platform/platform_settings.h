#pragma once

#include "model/node_settings.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Reads the settings that the platform hands to a process. Unknown fields are ignored. Throws
// settings_error naming the fault.
node_settings parsePlatformSettings(std::string_view text);

// Path of the settings file, from the platform's environment variable. Throws settings_error if it
// is not set.
std::string platformSettingsPath();

} // namespace buckthorngrade
