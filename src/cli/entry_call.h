#pragma once

#include <string>

namespace buckthorngrade {

// Asks the entry instance at `address` for `path` and prints its JSON answer. Returns the exit
// code. `what` names the thing asked for, for the message when there is none.
int printEntryAnswer(const std::string &address, const std::string &path, const std::string &what);

} // namespace buckthorngrade
