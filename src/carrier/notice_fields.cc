#include "carrier/notice_fields.h"

#include "steering/upstream_notices.h"

#include <algorithm>
#include <string_view>

namespace buckthorngrade {

namespace {

constexpr int unavailable = 503;
constexpr const char *retryAfterField = "Retry-After";

bool isDigits(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

// Parses "N" or "N.F" in seconds, rounded up to milliseconds. Never overflows, whatever the length.
std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text)
{
    constexpr std::chrono::milliseconds limit = upstream_notices::maxQuietPeriod;
    const std::size_t point = text.find('.');
    const std::string_view whole = text.substr(0, point);
    const std::string_view fraction
        = point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
    if (!isDigits(whole) || !isDigits(fraction))
        return std::nullopt;
    std::int64_t milliseconds = 0;
    for (const char digit : whole)
        milliseconds = std::min<std::int64_t>(milliseconds * 10 + (digit - '0'), limit.count());
    milliseconds *= 1'000;
    constexpr std::size_t exactDigits = 3;
    for (std::size_t i = 0, unit = 100; i < std::min(fraction.size(), exactDigits); ++i, unit /= 10)
        milliseconds += static_cast<std::int64_t>(unit) * (fraction[i] - '0');
    if (fraction.size() > exactDigits
        && fraction.find_first_not_of('0', exactDigits) != std::string_view::npos)
        ++milliseconds;
    return std::min(std::chrono::milliseconds(milliseconds), limit);
}

} // namespace

notice_fields parseNoticeFields(const http_head &response, const proxy_header_names &names)
{
    notice_fields result;
    for (const auto &[name, value] : response.fields) {
        if (equalsIgnoreCase(name, names.leaving)) {
            if (value == "1")
                result.isLeaving = true;
            else
                result.hasIgnoredValue = true;
        } else if (response.status == unavailable && equalsIgnoreCase(name, retryAfterField)) {
            const auto period = parseSeconds(value);
            if (period)
                result.quietPeriod = std::max(*period, result.quietPeriod.value_or(*period));
            else
                result.hasIgnoredValue = true;
        }
    }
    return result;
}

} // namespace buckthorngrade
