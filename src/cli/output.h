#pragma once

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace buckthorngrade {

// Formats a header line and rows as a table with aligned columns.
std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows);

// Formats the objects in the array `object[key]` as a table with one column for each key in
// `fields`. Missing fields are shown as "-".
std::string formatTable(const Poco::JSON::Object &object, const std::string &key,
                        const std::vector<std::string> &fields);

// Formats every value with its path, one per line: "instances[0].address: 192.0.2.1:8080".
std::string formatPaths(const Poco::Dynamic::Var &value, const std::string &path = "");

// Formats the object as JSON on one line.
std::string formatJson(const Poco::JSON::Object &object);

// Returns a field as text, or "-" if it is missing. Control characters become spaces.
std::string fieldText(const Poco::JSON::Object &object, const std::string &key);

} // namespace buckthorngrade
