#pragma once

#include "base/events.h"

#include <fmt/format.h>

#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace buckthorngrade {

// A key=value field of a log line. The value is escaped when the line is written.
struct log_field
{
    template <typename T>
    log_field(std::string_view fieldKey, const T &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    { }

    std::string_view key;
    std::string value;
};

// Writes structured log lines: time, level, event number and name, then key=value fields.
class event_log
{
public:
    virtual ~event_log() = default;
    // Thread-safe. Fields with spaces, quotes or control characters are quoted and escaped.
    void write(event_id id, std::initializer_list<log_field> fields = {});

protected:
    virtual bool isEnabled(log_level level) const = 0;
    virtual void writeLine(std::string_view line) = 0;
};

// Writes to standard error.
class stderr_event_log final : public event_log
{
public:
    // `instance` is appended to every line as a field.
    stderr_event_log(std::string instance, log_level minimum);

protected:
    bool isEnabled(log_level level) const override { return level >= m_minimum; }
    void writeLine(std::string_view line) override;

private:
    std::string m_instance;
    log_level m_minimum;
    std::mutex m_mutex;
};

// Discards all events. Used in tests and benchmarks.
class null_event_log final : public event_log
{
protected:
    bool isEnabled(log_level) const override { return false; }
    void writeLine(std::string_view) override { }
};

// Returns `value`, quoted and escaped if it is empty or has spaces, quotes, '=', backslashes or
// characters other than printable ASCII. Values are truncated to 1,024 bytes.
std::string escapeLogValue(std::string_view value);

} // namespace buckthorngrade
