#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// Waits until every entry instance that is not removed or dead has applied `revision`, and shows
// the progress on standard error. Throws unreachable_error at the timeout, naming the instances
// that are missing. A new leader learns of the entry instances from their reports, so nothing is
// proved while it knows none, or while its status says "instances_complete": false.
void waitInForce(std::uint64_t revision, const std::vector<std::string> &addresses,
                 std::chrono::milliseconds timeout);

} // namespace buckthorngrade
