#include "cli/command_line.h"

#include "base/yaml_reader.h"
#include "cli/cli_error.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

namespace buckthorngrade {

namespace {

bool isAllowed(std::string_view name, const std::vector<std::string_view> &allowed)
{
    return std::ranges::find(allowed, name) != allowed.end();
}

void setFlag(const std::string &name, const std::string &value)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        throw usage_error(fmt::format("--{} does not accept the value '{}'", name, value));
}

} // namespace

parsed_command_line parseFlags(const std::vector<std::string> &words,
                               const std::vector<std::string_view> &allowed)
{
    parsed_command_line result;
    for (std::size_t i = 0; i < words.size(); ++i) {
        const std::string &word = words[i];
        if (word == "--") {
            result.arguments.insert(result.arguments.end(),
                                    words.begin() + static_cast<long>(i) + 1, words.end());
            break;
        }
        if (!word.starts_with("-") || word == "-") {
            result.arguments.push_back(word);
            continue;
        }
        std::string name = word.substr(word.starts_with("--") ? 2 : 1);
        std::optional<std::string> value;
        if (const auto equals = name.find('='); equals != std::string::npos) {
            value = name.substr(equals + 1);
            name.resize(equals);
        }
        if (name == "help" || name == "h") {
            result.wantsHelp = true;
            continue;
        }
        std::ranges::replace(name, '-', '_');
        if (!value && name.starts_with("no") && isAllowed(name.substr(2), allowed)) {
            name.erase(0, 2);
            value = "false";
        }
        gflags::CommandLineFlagInfo info;
        if (!isAllowed(name, allowed) || !gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            throw usage_error(fmt::format("unknown flag '{}'", word));
        if (!value && info.type == "bool")
            value = "true";
        if (!value && i + 1 < words.size())
            value = words[++i];
        if (!value)
            throw usage_error(fmt::format("--{} requires a value", name));
        setFlag(name, *value);
    }
    return result;
}

std::string describeFlags(const std::vector<std::string_view> &flags)
{
    std::string text;
    for (const std::string_view flag : flags) {
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info))
            continue;
        const std::string defaultText = info.default_value.empty() || info.type == "bool"
            ? ""
            : fmt::format(" (default {})", info.default_value);
        text += fmt::format("  --{:<14} {}{}\n", flag, info.description, defaultText);
    }
    return text;
}

std::chrono::milliseconds parseDurationFlag(std::string_view flag, const std::string &value)
{
    const auto duration = parseDuration(value);
    if (!duration)
        throw usage_error(fmt::format(
            "--{} must be a duration with its unit, for example 10s; it is '{}'", flag, value));
    return *duration;
}

void requireArguments(const command_arguments &arguments, std::size_t count, std::string_view what)
{
    if (arguments.size() != count)
        throw usage_error(count == 0 ? "no further arguments are expected"
                                     : fmt::format("expected: {}", what));
}

} // namespace buckthorngrade
