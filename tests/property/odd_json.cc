#include "odd_json.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::ordered_json;

const std::string placeholder = "@odd@";

void collectPaths(const ordered_json &value, std::vector<std::string> &path,
                  std::vector<std::vector<std::string>> &result)
{
    if (!path.empty())
        result.push_back(path);
    const auto visit = [&](const std::string &name, const ordered_json &member) {
        path.push_back(name);
        collectPaths(member, path, result);
        path.pop_back();
    };
    if (value.is_object())
        for (const auto &[name, member] : value.items())
            visit(name, member);
    else if (value.is_array())
        for (std::size_t i = 0; i < value.size(); ++i)
            visit(std::to_string(i), value[i]);
}

ordered_json &memberAt(ordered_json &document, const std::vector<std::string> &path)
{
    ordered_json *result = &document;
    for (const std::string &name : path)
        result = result->is_array() ? &result->at(std::stoul(name)) : &result->at(name);
    return *result;
}

std::string replaceOnce(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    RC_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string pointerTo(const std::vector<std::string> &path)
{
    std::string result;
    for (const std::string &name : path)
        result += "/" + name;
    return result;
}

// Spellings that some rule takes for the same text.
std::string drawSpelling(const std::string &text)
{
    std::string capitals = text;
    std::ranges::transform(capitals, capitals.begin(),
                           [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    std::string escaped;
    for (const char c : text)
        escaped += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    return *rc::gen::element(text, capitals, text + ".", text + ":80", "0" + text, text + "/",
                             "/" + text, text + " ", escaped, std::string());
}

// The texts that stand for the same thing in other rows of the table, or in other entries, as the
// text at `path`. One of them, in another spelling, may be taken for the other.
std::vector<std::string> textsLike(const ordered_json &document,
                                   const std::vector<std::string> &path)
{
    std::vector<std::string> result;
    if (path.size() < 2)
        return result;
    const ordered_json entries = document.at(
        ordered_json::json_pointer(pointerTo({path.begin(), std::prev(path.end(), 2)})));
    const ordered_json::json_pointer member(pointerTo({path.back()}));
    for (const auto &[name, entry] : entries.items())
        if (entry.is_structured() && entry.contains(member) && entry.at(member).is_string())
            result.push_back(entry.at(member).get<std::string>());
    return result;
}

// The text of an odd value in place of `sound`, which is at `path`.
std::string drawValue(const ordered_json &document, const std::vector<std::string> &path,
                      const ordered_json &sound)
{
    const std::vector<std::string> values = {"null",
                                             "true",
                                             "{}",
                                             "[]",
                                             "\"\"",
                                             "0",
                                             "-1",
                                             "1.5",
                                             "1e30",
                                             "-1e30",
                                             "1e400",
                                             "70000",
                                             "4294967296",
                                             "9007199254740993",
                                             "18446744073709551615",
                                             "18446744073709551616",
                                             "-9223372036854775809",
                                             "\"-1s\"",
                                             "\"0ms\"",
                                             "\"1e30s\"",
                                             "\"1.5\"",
                                             "\"\xff\"",
                                             "\"\\ud800\"",
                                             "\"\\u0000\"",
                                             "\"a\\nb\"",
                                             fmt::format("\"{}\"", std::string(5'000, 'x')),
                                             "[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]",
                                             "nonsense"};
    const std::vector<std::string> similar = textsLike(document, path);
    if (!sound.is_string() || similar.empty() || *rc::gen::inRange(0, 2) == 0)
        return *rc::gen::elementOf(values);
    return ordered_json(drawSpelling(*rc::gen::elementOf(similar))).dump();
}

std::string drawName(const std::string &name)
{
    std::string capitals = name;
    capitals.front() = static_cast<char>(std::toupper(static_cast<unsigned char>(name.front())));
    return *rc::gen::element(
        capitals, name + " ", std::string(), std::string("\\ud800"), std::string("\xff"),
        fmt::format("\\u{:04x}{}", static_cast<int>(name.front()), name.substr(1)));
}

} // namespace

bool odd_json::touches(const std::string &other) const
{
    const std::string own = fmt::format("{}/", fmt::join(path, "/"));
    const std::string theirs = other + "/";
    return own.starts_with(theirs) || theirs.starts_with(own);
}

std::string odd_json::describe() const
{
    constexpr const char *names[] = {"removed", "replaced by", "repeated as", "renamed to"};
    return fmt::format("{} {} {}", fmt::join(path, "/"), names[static_cast<int>(kind)], value);
}

odd_json drawOddJson(const ordered_json &sound)
{
    using enum odd_json::change;
    std::vector<std::vector<std::string>> paths;
    std::vector<std::string> walked;
    collectPaths(sound, walked, paths);
    odd_json result;
    result.path = *rc::gen::elementOf(paths);
    ordered_json document = sound;
    ordered_json &parent = memberAt(document, {result.path.begin(), std::prev(result.path.end())});
    ordered_json &member = memberAt(document, result.path);
    const ordered_json value = member;
    const std::string &name = result.path.back();
    result.kind = parent.is_object() ? *rc::gen::element(removed, replaced, repeated, renamed)
                                     : *rc::gen::element(removed, replaced, repeated);
    if (result.kind == removed) {
        if (parent.is_object())
            parent.erase(name);
        else
            parent.erase(std::stoul(name));
        result.text = document.dump();
        return result;
    }
    member = placeholder;
    const std::string marked = document.dump();
    const std::string mark = ordered_json(placeholder).dump();
    const std::string namedMark = ordered_json(name).dump() + ":" + mark;
    if (result.kind == replaced) {
        result.value = drawValue(sound, result.path, value);
        result.text = replaceOnce(marked, mark, result.value);
    } else if (result.kind == renamed) {
        result.value = drawName(name);
        result.text
            = replaceOnce(marked, namedMark, fmt::format("\"{}\":{}", result.value, value.dump()));
    } else {
        result.value
            = *rc::gen::inRange(0, 2) == 0 ? value.dump() : drawValue(sound, result.path, value);
        std::string first = value.dump();
        std::string second = result.value;
        if (*rc::gen::inRange(0, 2) == 0)
            std::swap(first, second);
        const std::string separator
            = parent.is_object() ? "," + ordered_json(name).dump() + ":" : ",";
        result.text = replaceOnce(marked, mark, first + separator + second);
    }
    return result;
}

} // namespace buckthorngrade
