#include "platform/json_values.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <vector>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

const nlohmann::json *findField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

[[noreturn]] void rejectType(const char *name, const char *type)
{
    throw settings_error(fmt::format("'{}' must be {}", name, type));
}

} // namespace

nlohmann::json parseJson(std::string_view text, std::set<std::string> &repeatedNames)
{
    using nlohmann::json;
    std::vector<std::set<std::string>> openObjects; // the names read so far
    const auto recordName = [&](int, json::parse_event_t event, json &parsed) {
        if (event == json::parse_event_t::object_start)
            openObjects.emplace_back();
        else if (event == json::parse_event_t::object_end)
            openObjects.pop_back();
        else if (event == json::parse_event_t::key) {
            const auto &name = parsed.get_ref<const std::string &>();
            if (!openObjects.back().insert(name).second)
                repeatedNames.insert(name);
        }
        return true;
    };
    return json::parse(text, recordName, false);
}

std::optional<std::chrono::milliseconds> parsePlatformDuration(std::string_view text)
{
    double value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || !std::isfinite(value))
        return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    constexpr double msPerSecond = 1000;
    constexpr double maxMs = 1e12;
    if (unit != "ms" && unit != "s")
        return std::nullopt;
    const double ms = unit == "s" ? value * msPerSecond : value;
    if (std::abs(ms) > maxMs)
        return std::nullopt;
    return std::chrono::milliseconds(std::llround(ms));
}

std::chrono::milliseconds durationField(const nlohmann::json &object, const char *name,
                                        std::chrono::milliseconds fallback)
{
    const nlohmann::json *field = findField(object, name);
    if (field == nullptr)
        return fallback;
    if (!field->is_string())
        rejectType(name, "a time");
    const auto time = parsePlatformDuration(field->get_ref<const std::string &>());
    if (!time)
        rejectType(name, "a time with its unit");
    return *time;
}

double numberField(const nlohmann::json &object, const char *name, double fallback)
{
    const nlohmann::json *field = findField(object, name);
    if (field == nullptr)
        return fallback;
    if (!field->is_number())
        rejectType(name, "a number");
    return field->get<double>();
}

std::int64_t integerField(const nlohmann::json &object, const char *name, std::int64_t fallback)
{
    const nlohmann::json *field = findField(object, name);
    if (field == nullptr)
        return fallback;
    // The parser stores larger values as unsigned integers.
    const bool isTooLarge = field->is_number_unsigned()
        && field->get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
    if (!field->is_number_integer() || isTooLarge)
        rejectType(name, "a whole number");
    return field->get<std::int64_t>();
}

std::string stringField(const nlohmann::json &object, const char *name, const std::string &fallback)
{
    const nlohmann::json *field = findField(object, name);
    if (field == nullptr)
        return fallback;
    if (!field->is_string())
        rejectType(name, "a string");
    return field->get<std::string>();
}

bool booleanField(const nlohmann::json &object, const char *name, bool fallback)
{
    const nlohmann::json *field = findField(object, name);
    if (field == nullptr)
        return fallback;
    if (!field->is_boolean())
        rejectType(name, "true or false");
    return field->get<bool>();
}

} // namespace buckthorngrade
