#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace buckthorngrade {

// The text of a JSON document in which one member differs from a sound one.
struct odd_json
{
    std::string text;
    std::vector<std::string> path; // of the member, before the change
    enum class change { removed, replaced, repeated, renamed };
    change kind = change::replaced;
    std::string value; // text of the new value, or of the new name

    // Whether the member at `other`, a path with slashes, is this one, or a part of it, or contains
    // it.
    bool touches(const std::string &other) const;
    std::string describe() const;
};

// Draws a variant of `sound`. Must be called within a property.
odd_json drawOddJson(const nlohmann::ordered_json &sound);

} // namespace buckthorngrade
