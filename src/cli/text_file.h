#pragma once

#include <string>

namespace buckthorngrade {

// Returns the content of a file named on the command line. Throws usage_error if it can't be read.
std::string readTextFile(const std::string &file);

} // namespace buckthorngrade
