#pragma once

#include "model/node_settings.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Parses the settings that the platform passes to a process. Ignores unknown fields. Throws
// settings_error that describes the fault.
node_settings parsePlatformSettings(std::string_view text);

// Returns the path of the settings file from the platform's environment variable. Throws
// settings_error if the variable is not set.
std::string platformSettingsPath();

} // namespace buckthorngrade
