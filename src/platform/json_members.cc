#include "platform/json_members.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthorngrade {

namespace {

// Scans JSON text. Functions that return bool return false if the expected token is missing or the
// text ends before it is complete.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text)
        : m_text(text)
    { }

    char current() const { return m_position < m_text.size() ? m_text[m_position] : '\0'; }
    std::size_t position() const { return m_position; }
    std::string_view textSince(std::size_t start) const
    {
        return m_text.substr(start, m_position - start);
    }

    bool consume(char wanted)
    {
        skipSpace();
        if (current() != wanted)
            return false;
        ++m_position;
        return true;
    }
    void skipSpace()
    {
        m_position = std::min(m_text.find_first_not_of(" \t\r\n", m_position), m_text.size());
    }
    bool skipString()
    {
        if (!consume('"'))
            return false;
        for (; m_position < m_text.size(); ++m_position) {
            if (m_text[m_position] == '\\')
                ++m_position;
            else if (m_text[m_position] == '"')
                return ++m_position <= m_text.size();
        }
        return false;
    }
    // Stops before the comma or closing bracket that follows the value. Raises `maxDepth` to the
    // nesting depth of the value.
    bool skipValue(std::size_t &maxDepth)
    {
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            const char c = m_text[m_position];
            if (c == '"') {
                if (!skipString())
                    return false;
                continue;
            }
            if (depth == 0 && (c == ',' || c == '}' || c == ']'))
                return true;
            if (c == '{' || c == '[')
                maxDepth = std::max(maxDepth, ++depth);
            else if (c == '}' || c == ']')
                --depth;
            ++m_position;
        }
        return false;
    }

private:
    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace

std::optional<std::vector<json_member>> splitJsonObject(std::string_view text)
{
    json_scanner scanner(text);
    std::vector<json_member> result;
    if (!scanner.consume('{'))
        return std::nullopt;
    if (scanner.consume('}'))
        return result;
    do {
        scanner.skipSpace();
        const std::size_t nameStart = scanner.position();
        if (!scanner.skipString())
            return std::nullopt;
        const auto name = nlohmann::json::parse(scanner.textSince(nameStart), nullptr, false);
        if (!scanner.consume(':'))
            return std::nullopt;
        scanner.skipSpace();
        const std::size_t valueStart = scanner.position();
        json_member member;
        if (!scanner.skipValue(member.depth))
            return std::nullopt;
        if (name.is_string())
            member.name = name.get<std::string>();
        member.value = scanner.textSince(valueStart);
        result.push_back(std::move(member));
    } while (scanner.consume(','));
    if (!scanner.consume('}'))
        return std::nullopt;
    return result;
}

} // namespace buckthorngrade
