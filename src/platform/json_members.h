#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// A member of a JSON object whose value has not been read.
struct json_member
{
    std::string name;
    std::string_view value; // text; may be malformed
    std::size_t depth = 0; // of its nesting; 0: no object or array
};

// Splits a JSON object into its members, so that one value that can't be read, or that is costly to
// read, leaves the others usable. Only brackets and strings are looked at: time is linear in the
// text, and memory in the number of members. Nothing if the text is no object, or if a string or a
// bracket in it has no end.
std::optional<std::vector<json_member>> splitJsonObject(std::string_view text);

} // namespace buckthorngrade
