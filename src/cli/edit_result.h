#pragma once

#include "cli/http_call.h"

#include <string>
#include <vector>

namespace buckthorngrade {

// Prints the outcome of an edit and, with --wait, waits until the edit is in force. Returns
// the exit code.
int finishEdit(const http_reply &reply, const std::vector<std::string> &addresses);

} // namespace buckthorngrade
