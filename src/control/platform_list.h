#pragma once

#include "control/control_state.h"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// The platform's list of instances. It lags, so it is only one input to the registry.
struct platform_list
{
    std::map<std::string, bool> isLeaving; // by instance

    bool operator==(const platform_list &) const = default;
};

// Reads lines of the form "NAME live" or "NAME leaving"; empty lines and those that start with '#'
// are skipped. Throws control_error that names the first faulty line, also for a name given twice.
platform_list parsePlatformList(std::string_view text);

// The list in `file`. Empty, with the reason in `fault`, if the file is missing, malformed or
// larger than 4 MB: that is no information about any instance.
std::optional<platform_list> readPlatformList(const std::filesystem::path &file,
                                              std::string &fault);

} // namespace buckthorngrade
