#pragma once

#include "base/error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Parses JSON text. Returns a discarded value if it is malformed. If an object has a name twice,
// the last value counts; such names are added to `repeatedNames`.
nlohmann::json parseJson(std::string_view text, std::set<std::string> &repeatedNames);

// Parses a duration in the platform's messages: a number followed by its unit, such as "1500ms" or
// "2.5s". Returns nullopt if the text is malformed or out of range.
std::optional<std::chrono::milliseconds> parsePlatformDuration(std::string_view text);

// The functions below read a field of a JSON object. They return the fallback if the field is
// absent or null, and throw settings_error if it has another type.
std::chrono::milliseconds durationField(const nlohmann::json &object, const char *name,
                                        std::chrono::milliseconds fallback);
double numberField(const nlohmann::json &object, const char *name, double fallback);
// Reads a signed 64-bit integer. Throws for any other number.
std::int64_t integerField(const nlohmann::json &object, const char *name, std::int64_t fallback);
std::string stringField(const nlohmann::json &object, const char *name,
                        const std::string &fallback);
bool booleanField(const nlohmann::json &object, const char *name, bool fallback);

} // namespace buckthorngrade
