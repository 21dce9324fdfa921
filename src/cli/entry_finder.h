#pragma once

#include <string>

namespace buckthorngrade {

// Address of a live entry instance: --entry, or else one that the control group knows. With
// `decisionId`, the instance that made the decision: its id contains the instance's name.
// Throws usage_error, unreachable_error, or not_found_error if no instance matches.
std::string findEntry(const std::string &decisionId = "");

} // namespace buckthorngrade
