#pragma once

#include <filesystem>

namespace buckthorngrade {

// Runs an entry instance until SIGTERM or SIGINT, then shuts it down gracefully. Returns the
// process's exit code.
int runEntry(const std::filesystem::path &config);

} // namespace buckthorngrade
