#pragma once

#include "control/control_state.h"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// The platform's list of instances. It lags behind the actual state, so the registry treats it as
// only one of its inputs.
struct platform_list
{
    std::map<std::string, bool> leavingByName; // by instance name

    bool operator==(const platform_list &) const = default;
};

// Parses lines of the form "NAME live" or "NAME leaving". Empty lines and lines that start with '#'
// are skipped. Throws control_error with the number of the first line that is malformed or repeats
// a name.
platform_list parsePlatformList(std::string_view text);

// Reads the list in `file`. Returns nullopt and sets `failureReason` if the file is missing,
// malformed or larger than 4 MB; nothing can be concluded about any instance then.
std::optional<platform_list> readPlatformList(const std::filesystem::path &file,
                                              std::string &failureReason);

} // namespace buckthorngrade
