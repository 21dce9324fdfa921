#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

// Waits until every entry instance that is not removed or dead has applied `revision`, and shows
// the progress on standard error. Throws unreachable_error at the timeout, naming the instances
// that are missing. As long as the leader knows no entry instance, nothing is proved and the wait
// goes on: a new leader learns of them from their reports.
void waitInForce(std::uint64_t revision, const std::vector<std::string> &addresses,
                 std::chrono::milliseconds timeout);

} // namespace buckthorngrade
