#pragma once

#include "base/error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Times in the platform's messages are strings of a number and its unit, "1500ms" or "2.5s".
std::optional<std::chrono::milliseconds> parsePlatformTime(std::string_view text);

// Readers of fields of a JSON object. An absent or null field gives the fallback; one of another
// type throws settings_error.
std::chrono::milliseconds timeField(const nlohmann::json &object, const char *name,
                                    std::chrono::milliseconds fallback);
double numberField(const nlohmann::json &object, const char *name, double fallback);
// A whole number of 64 bits with sign; anything else throws.
std::int64_t wholeField(const nlohmann::json &object, const char *name, std::int64_t fallback);
std::string textField(const nlohmann::json &object, const char *name, const std::string &fallback);
bool flagField(const nlohmann::json &object, const char *name, bool fallback);

} // namespace buckthorngrade
