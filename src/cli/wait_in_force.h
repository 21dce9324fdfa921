#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// Waits until the leader reports `revision` as in force: every entry instance that is not removed
// or dead has confirmed it, or has been excluded from lookup responses for longer than callers
// cache them. While the leader knows no entry instance, the wait continues, because nothing shows
// that the revision is in use. Prints the progress on standard error. Throws unreachable_error at
// the timeout, naming the instances that have not confirmed the revision.
void waitInForce(std::uint64_t revision, const std::vector<std::string> &addresses,
                 std::chrono::milliseconds timeout);

} // namespace buckthorngrade
