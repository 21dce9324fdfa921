#pragma once

#include "cli/commands.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

struct parsed_command_line
{
    command_arguments arguments;
    bool wantsHelp = false;
};

// Sets gflags from `words` and returns the remaining arguments. Throws usage_error for a flag that
// is not in `allowed`, so that a command never silently ignores a flag. The parser of gflags is not
// used because it accepts every flag of the binary and exits with code 1 on an error.
parsed_command_line parseFlags(const std::vector<std::string> &words,
                               const std::vector<std::string_view> &allowed);

// Returns the help text of the flags: one line each, with the description and the default.
std::string describeFlags(const std::vector<std::string_view> &flags);

// Parses a flag's value such as "10s". Throws usage_error.
std::chrono::milliseconds parseDurationFlag(std::string_view flag, const std::string &value);

// Throws usage_error unless there are exactly `count` arguments. The error message names them
// with `what`.
void requireArguments(const command_arguments &arguments, std::size_t count, std::string_view what);

} // namespace buckthorngrade
