#pragma once

#include <string>

namespace buckthorngrade {

// Returns the address in --entry or, without that flag, of a live entry instance that the control
// group knows. With `decisionId`, returns the instance that made the decision, live or not: the id
// contains the instance's name. Throws usage_error, unreachable_error, or not_found_error if no
// instance matches.
std::string findEntry(const std::string &decisionId = "");

} // namespace buckthorngrade
