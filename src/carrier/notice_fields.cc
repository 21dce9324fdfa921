#include "carrier/notice_fields.h"

#include "steering/upstream_notices.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>

namespace buckthorngrade {

namespace {

constexpr int unavailable = 503;
constexpr const char *retryAfterField = "Retry-After";

bool isDigits(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

struct decimal
{
    std::string_view whole;
    std::string_view fraction;
};

// Parses "N" or "N.F".
std::optional<decimal> parseDecimal(std::string_view text)
{
    const std::size_t point = text.find('.');
    const decimal result{text.substr(0, point),
                         point == std::string_view::npos ? std::string_view("0")
                                                         : text.substr(point + 1)};
    if (!isDigits(result.whole) || !isDigits(result.fraction))
        return std::nullopt;
    return result;
}

// Parses a decimal number of seconds, rounded up to milliseconds. Never overflows, whatever the
// length.
std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text)
{
    constexpr std::chrono::milliseconds limit = upstream_notices::maxQuietPeriod;
    const auto parsed = parseDecimal(text);
    if (!parsed)
        return std::nullopt;
    const auto [whole, fraction] = *parsed;
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

// Parses a decimal number of requests per second.
std::optional<double> parseRate(std::string_view text)
{
    if (!parseDecimal(text))
        return std::nullopt;
    double result = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), result);
    // Digits alone can only fail to parse because the number is too large.
    if (failure != std::errc())
        return upstream_notices::maxRequestLimit;
    return std::min(result, upstream_notices::maxRequestLimit);
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
        } else if (equalsIgnoreCase(name, names.requestLimit)) {
            result.hasRequestLimitField = true;
            const auto limit = parseRate(value);
            if (limit)
                result.requestLimit = std::min(*limit, result.requestLimit.value_or(*limit));
            else
                result.hasIgnoredValue = true;
        }
    }
    return result;
}

} // namespace buckthorngrade
