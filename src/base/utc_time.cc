#include "base/utc_time.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Timestamp.h>

namespace buckthorngrade {

std::string formatUtcTime(wall_time time)
{
    const auto microseconds
        = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    return Poco::DateTimeFormatter::format(Poco::Timestamp(microseconds.count()),
                                           Poco::DateTimeFormat::ISO8601_FRAC_FORMAT)
               .substr(0, std::string_view("2026-12-04T07:00:00.000").size())
        + "Z";
}

std::optional<wall_time> parseUtcTime(std::string_view text)
{
    // The format is checked first, because POCO's parser accepts incomplete text.
    constexpr std::string_view pattern = "0000-00-00T00:00:00";
    if (text.size() <= pattern.size() || text.back() != 'Z')
        return std::nullopt;
    const std::string_view fraction = text.substr(pattern.size(), text.size() - pattern.size() - 1);
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    for (std::size_t i = 0; i < pattern.size(); ++i)
        if (pattern[i] == '0' ? !isDigit(text[i]) : pattern[i] != text[i])
            return std::nullopt;
    constexpr std::size_t maxFraction = 7; // ".000000"
    if (fraction.size() > maxFraction || (!fraction.empty() && fraction.front() != '.')
        || fraction.size() == 1)
        return std::nullopt;
    for (const char c : fraction.substr(fraction.empty() ? 0 : 1))
        if (!isDigit(c))
            return std::nullopt;
    Poco::DateTime parsed;
    int zone = 0;
    if (!Poco::DateTimeParser::tryParse(fraction.empty() ? "%Y-%m-%dT%H:%M:%SZ"
                                                         : "%Y-%m-%dT%H:%M:%s%z",
                                        std::string(text), parsed, zone))
        return std::nullopt;
    return wall_time(std::chrono::microseconds(parsed.timestamp().epochMicroseconds()));
}

} // namespace buckthorngrade
