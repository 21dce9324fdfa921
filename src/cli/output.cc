#include "cli/output.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace buckthorngrade {

namespace {

// Replaces control characters by spaces. Responses come from the network and must not send escape
// sequences to the operator's terminal.
std::string replaceControlCharacters(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, ' ');
    return text;
}

std::string toUpper(std::string text)
{
    std::ranges::transform(text, text.begin(), [](char c) {
        return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c;
    });
    return text;
}

} // namespace

std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < header.size(); ++column) {
        std::size_t width = header[column].size();
        for (const auto &row : rows)
            width = std::max(width, row[column].size());
        widths.push_back(width);
    }
    std::string text;
    const auto append = [&](const std::vector<std::string> &row) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += fmt::format("{:<{}}  ", row[column], widths[column]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    append(header);
    std::ranges::for_each(rows, append);
    return text;
}

std::string formatTable(const Poco::JSON::Object &object, const std::string &key,
                        const std::vector<std::string> &fields)
{
    std::vector<std::string> header;
    std::ranges::transform(fields, std::back_inserter(header), toUpper);
    std::vector<std::vector<std::string>> rows;
    const auto items = object.getArray(key);
    for (std::size_t i = 0; items && i < items->size(); ++i) {
        const auto item = items->getObject(static_cast<unsigned>(i));
        if (!item)
            continue;
        std::vector<std::string> &row = rows.emplace_back();
        for (const std::string &field : fields)
            row.push_back(fieldText(*item, field));
    }
    return formatTable(header, rows);
}

std::string formatPaths(const Poco::Dynamic::Var &value, const std::string &path)
{
    if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
        std::string text;
        for (const auto &[key, inner] : *value.extract<Poco::JSON::Object::Ptr>())
            text += formatPaths(inner, path.empty() ? key : fmt::format("{}.{}", path, key));
        return text;
    }
    if (value.type() == typeid(Poco::JSON::Array::Ptr)) {
        std::string text;
        std::size_t index = 0;
        for (const auto &inner : *value.extract<Poco::JSON::Array::Ptr>())
            text += formatPaths(inner, fmt::format("{}[{}]", path, index++));
        return text;
    }
    return fmt::format("{}: {}\n", replaceControlCharacters(path),
                       value.isEmpty() ? "-" : replaceControlCharacters(value.toString()));
}

std::string formatJson(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::string fieldText(const Poco::JSON::Object &object, const std::string &key)
{
    if (!object.has(key) || object.isNull(key))
        return "-";
    const std::string text = replaceControlCharacters(object.get(key).toString());
    return text.empty() ? "-" : text;
}

} // namespace buckthorngrade
