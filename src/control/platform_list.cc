#include "control/platform_list.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxListBytes = 4U << 20;
constexpr std::size_t maxNameBytes = 64;

} // namespace

platform_list parsePlatformList(std::string_view text)
{
    platform_list result;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        std::istringstream words(line);
        std::string name;
        std::string state;
        std::string rest;
        if (!(words >> name) || name.front() == '#')
            continue;
        words >> state;
        if (name.size() > maxNameBytes || (state != "live" && state != "leaving") || words >> rest)
            throw control_error(
                fmt::format("line {} must have the form 'NAME live' or 'NAME leaving'", number));
        if (!result.leavingByName.emplace(name, state == "leaving").second)
            throw control_error(fmt::format("line {} repeats the instance '{}'", number, name));
    }
    return result;
}

std::optional<platform_list> readPlatformList(const std::filesystem::path &file,
                                              std::string &failureReason)
{
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        failureReason = "the file can't be opened";
        return std::nullopt;
    }
    std::string text(maxListBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(input.gcount()));
    if (input.bad() || text.size() > maxListBytes) {
        failureReason = input.bad() ? "the file can't be read" : "the file is too large";
        return std::nullopt;
    }
    try {
        failureReason.clear();
        return parsePlatformList(text);
    } catch (const control_error &failure) {
        failureReason = failure.what();
        return std::nullopt;
    }
}

} // namespace buckthorngrade
