#pragma once

#include <string>

namespace buckthorngrade {

// Sends GET `path` to the entry instance at `address`, prints its JSON response and returns the
// exit code. `what` describes the requested object in the not_found_error for status 404. Throws
// unreachable_error if the instance does not respond.
int printEntryResponse(const std::string &address, const std::string &path,
                       const std::string &what);

} // namespace buckthorngrade
