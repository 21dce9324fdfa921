#include "base/event_log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxValueBytes = 1024;

bool isPlain(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte < 0x7f && c != '"' && c != '\\' && c != '=';
}

std::string escapedChar(char c)
{
    switch (c) {
    case '"':
        return "\\\"";
    case '\\':
        return "\\\\";
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    case '\t':
        return "\\t";
    default:
        break;
    }
    const auto byte = static_cast<unsigned char>(c);
    return byte < ' ' || byte == 0x7f ? fmt::format("\\x{:02x}", byte) : std::string(1, c);
}

} // namespace

std::string escapeLogValue(std::string_view value)
{
    const bool isTruncated = value.size() > maxValueBytes;
    value = value.substr(0, maxValueBytes);
    if (!isTruncated && !value.empty() && std::ranges::all_of(value, isPlain))
        return std::string(value);
    std::string quoted = "\"";
    for (const char c : value)
        quoted += escapedChar(c);
    return quoted + (isTruncated ? "...\"" : "\"");
}

void event_log::write(event_id id, std::initializer_list<log_field> fields)
{
    const event_description &event = describe(id);
    if (!isEnabled(event.level))
        return;
    const auto now
        = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}", fmt::gmtime(now),
                                   now.time_since_epoch().count() % 1000, toString(event.level),
                                   static_cast<int>(id), event.name);
    for (const log_field &field : fields)
        line += fmt::format(" {}={}", field.key, escapeLogValue(field.value));
    writeLine(line);
}

stderr_event_log::stderr_event_log(std::string instance, log_level minimum)
    : m_instance(std::move(instance))
    , m_minimum(minimum)
{ }

void stderr_event_log::writeLine(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    fmt::print(stderr, "{} instance={}\n", line, escapeLogValue(m_instance));
}

} // namespace buckthorngrade
