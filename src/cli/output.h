#pragma once

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace buckthorngrade {

// Rows under a header line, with columns of equal width.
std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows);

// The objects in `object[key]` as a table; `fields` names the keys that become columns. Fields
// that are missing are shown as "-".
std::string formatTable(const Poco::JSON::Object &object, const std::string &key,
                        const std::vector<std::string> &fields);

// Every value with its path, one a line: "instances[0].address: 192.0.2.1:8080".
std::string formatPaths(const Poco::Dynamic::Var &value, const std::string &path = "");

// JSON on one line.
std::string formatJson(const Poco::JSON::Object &object);

// A field as text; "-" if it is missing.
std::string fieldText(const Poco::JSON::Object &object, const std::string &key);

} // namespace buckthorngrade
