#pragma once

#include "cli/command_line.h"

namespace buckthorngrade {

// The roles as the platform runs them: settings come from the file that the platform names, and
// calls have the platform's form. Both return an exit code.
int runPlatformEntry(const command_arguments &arguments);
int runPlatformControl(const command_arguments &arguments);

} // namespace buckthorngrade
