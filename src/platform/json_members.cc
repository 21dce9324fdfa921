#include "platform/json_members.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthorngrade {

namespace {

// Scans JSON text. Functions that return bool return false if the expected token is missing or the
// text ends before it is complete.
class scanner
{
public:
    explicit scanner(std::string_view text)
        : m_text(text)
    { }

    char current() const { return m_at < m_text.size() ? m_text[m_at] : '\0'; }
    std::size_t position() const { return m_at; }
    std::string_view since(std::size_t start) const { return m_text.substr(start, m_at - start); }

    bool take(char wanted)
    {
        skipSpace();
        if (current() != wanted)
            return false;
        ++m_at;
        return true;
    }
    void skipSpace() { m_at = std::min(m_text.find_first_not_of(" \t\r\n", m_at), m_text.size()); }
    bool skipString()
    {
        if (!take('"'))
            return false;
        for (; m_at < m_text.size(); ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
            else if (m_text[m_at] == '"')
                return ++m_at <= m_text.size();
        }
        return false;
    }
    // Stops before the comma or closing bracket that follows the value. Raises `mostDepth` to the
    // nesting depth of the value.
    bool skipValue(std::size_t &mostDepth)
    {
        std::size_t depth = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"') {
                if (!skipString())
                    return false;
                continue;
            }
            if (depth == 0 && (c == ',' || c == '}' || c == ']'))
                return true;
            if (c == '{' || c == '[')
                mostDepth = std::max(mostDepth, ++depth);
            else if (c == '}' || c == ']')
                --depth;
            ++m_at;
        }
        return false;
    }

private:
    std::string_view m_text;
    std::size_t m_at = 0;
};

} // namespace

std::optional<std::vector<json_member>> splitJsonObject(std::string_view text)
{
    scanner at(text);
    std::vector<json_member> result;
    if (!at.take('{'))
        return std::nullopt;
    if (at.take('}'))
        return result;
    do {
        at.skipSpace();
        const std::size_t nameStart = at.position();
        if (!at.skipString())
            return std::nullopt;
        const auto name = nlohmann::json::parse(at.since(nameStart), nullptr, false);
        if (!name.is_string() || !at.take(':'))
            return std::nullopt;
        at.skipSpace();
        const std::size_t valueStart = at.position();
        json_member member;
        if (!at.skipValue(member.depth))
            return std::nullopt;
        member.name = name.get<std::string>();
        member.value = at.since(valueStart);
        result.push_back(std::move(member));
    } while (at.take(','));
    if (!at.take('}'))
        return std::nullopt;
    return result;
}

} // namespace buckthorngrade
