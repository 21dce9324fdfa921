#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

using command_arguments = std::vector<std::string>;

// Exit codes of all commands.
enum exit_code {
    exit_ok = 0,
    exit_rejected = 1, // an invalid file, a conflict, or a rejected change
    exit_usage = 2,
    exit_unreachable = 3, // no usable response before the timeout
    exit_not_found = 4,
};

struct command
{
    std::string_view name;
    std::string_view usage; // arguments after the name
    std::string_view help; // one line
    std::vector<std::string_view> flags; // gflags names that the command reads
    int (*run)(const command_arguments &arguments); // without the command's name and flags
};

std::span<const command> allCommands();

// Runs the command named by the first argument and returns its exit code. Prints errors, with
// advice for the operator, on standard error.
int runCommand(int argc, char **argv);

} // namespace buckthorngrade
