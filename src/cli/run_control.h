#pragma once

#include <filesystem>

namespace buckthorngrade {

// Runs a control instance until SIGTERM or SIGINT. Returns the process's exit code. `initialize`
// makes a new data folder for a founding member; without it an empty folder is a repair.
int runControl(const std::filesystem::path &config, bool initialize);

} // namespace buckthorngrade
