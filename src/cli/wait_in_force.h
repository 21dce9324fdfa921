#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// Waits until the leader says that `revision` is in force: every entry instance that is not removed
// or dead has confirmed it, or has been left out of lookups for longer than they are cached. Shows
// the progress on standard error. Throws unreachable_error at the timeout, naming the instances
// that are missing. Nothing is proved while the leader knows no entry instance.
void waitInForce(std::uint64_t revision, const std::vector<std::string> &addresses,
                 std::chrono::milliseconds timeout);

} // namespace buckthorngrade
