#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// A member of a JSON object with its unparsed value.
struct json_member
{
    std::string name; // empty if it can't be read as text, such as half of a surrogate pair
    std::string_view value; // may be malformed; points into the split text
    std::size_t depth = 0; // nesting depth of the value; 0: neither object nor array
};

// Splits a JSON object into its members without parsing the values, so that a name that can't be
// read, or a value that is malformed or expensive to parse, doesn't affect the others. Only
// brackets and strings are examined: time is linear in the length of the text, and memory in the
// number of members. Returns nullopt if the text is not an object or has an unterminated string or
// bracket.
std::optional<std::vector<json_member>> splitJsonObject(std::string_view text);

} // namespace buckthorngrade
