#pragma once

#include <string>

namespace buckthorngrade {

// Reads a file that an operator named. Throws usage_error if it can't be read.
std::string readTextFile(const std::string &file);

} // namespace buckthorngrade
