#pragma once

#include "cli/commands.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

struct parsed_line
{
    command_arguments arguments;
    bool wantsHelp = false;
};

// Sets gflags from `words` and returns the rest. Only the flags in `allowed` are accepted, so that
// a flag that a command ignores is an error and not a surprise. gflags' own parser would accept
// every flag of the binary and exit with code 1. Throws usage_error.
parsed_line parseFlags(const std::vector<std::string> &words,
                       const std::vector<std::string_view> &allowed);

// One paragraph with each flag, its meaning and default.
std::string describeFlags(const std::vector<std::string_view> &flags);

// Reads a flag's value such as "10s". Throws usage_error.
std::chrono::milliseconds durationOfFlag(std::string_view flag, const std::string &value);

// Throws usage_error unless there are exactly `count` arguments; `what` names them.
void requireArguments(const command_arguments &arguments, std::size_t count, std::string_view what);

} // namespace buckthorngrade
