#pragma once

#include "cli/command_line.h"

namespace buckthorngrade {

// Run an entry or control instance under the platform, with the settings file that the platform
// names and the platform's protocols. Both return an exit code.
int runPlatformEntry(const command_arguments &arguments);
int runPlatformControl(const command_arguments &arguments);

} // namespace buckthorngrade
