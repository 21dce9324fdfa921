#pragma once

#include "cli/commands.h"

namespace buckthorngrade {

// Each function runs one command of the table in commands.cc and returns its exit code.
int runCheck(const command_arguments &arguments);
// Runs a control instance until SIGTERM or SIGINT.
int runControl(const command_arguments &arguments);
int runDrain(const command_arguments &arguments);
// Runs an entry instance until SIGTERM or SIGINT, then shuts it down gracefully.
int runEntry(const command_arguments &arguments);
int runEvents(const command_arguments &arguments);
int runExplain(const command_arguments &arguments);
int runInstance(const command_arguments &arguments);
int runLookup(const command_arguments &arguments);
int runMember(const command_arguments &arguments);
int runProfile(const command_arguments &arguments);
int runStatus(const command_arguments &arguments);
int runVersion(const command_arguments &arguments);

} // namespace buckthorngrade
