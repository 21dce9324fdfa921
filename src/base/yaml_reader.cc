#include "base/yaml_reader.h"

#include "base/error.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxNameBytes = 64;

// Rejects anchors, aliases, and excessive depth or size before the document reaches the tree
// builder.
class limit_checker final : public YAML::EventHandler
{
public:
    explicit limit_checker(const yaml_limits &limits)
        : m_limits(limits)
    { }
    void OnDocumentStart(const YAML::Mark &) override { }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override { count(mark, anchor); }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        reject(mark, "aliases are not allowed");
    }
    void OnScalar(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor,
                  const std::string &) override
    {
        count(mark, anchor);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        count(mark, anchor);
        enter(mark);
    }
    void OnSequenceEnd() override { --m_depth; }
    void OnMapStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        count(mark, anchor);
        enter(mark);
    }
    void OnMapEnd() override { --m_depth; }

private:
    [[noreturn]] static void reject(const YAML::Mark &mark, std::string_view reason)
    {
        throw settings_error(fmt::format("line {}: {}", mark.line + 1, reason));
    }
    void count(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor)
            reject(mark, "anchors are not allowed");
        if (++m_nodes > m_limits.maxNodes)
            reject(mark, "the document has too many values");
    }
    void enter(const YAML::Mark &mark)
    {
        if (++m_depth > m_limits.maxDepth)
            reject(mark, "the document is nested too deeply");
    }

    yaml_limits m_limits;
    std::size_t m_depth = 0;
    std::size_t m_nodes = 0;
};

// Splits text such as "12.5ms" into a non-negative number and its unit.
std::optional<std::pair<double, std::string_view>> splitUnit(std::string_view text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, failure]
        = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (failure != std::errc() || !std::isfinite(number) || std::signbit(number))
        return std::nullopt;
    return std::pair{number, std::string_view(rest, static_cast<std::size_t>(end - rest))};
}

struct unit
{
    std::string_view name;
    double factor;
};

template <std::size_t N>
std::optional<double> parseWithUnit(std::string_view text, const std::array<unit, N> &units)
{
    const auto parts = splitUnit(text);
    if (!parts)
        return std::nullopt;
    const auto found = std::ranges::find(units, parts->second, &unit::name);
    if (found == units.end())
        return std::nullopt;
    return parts->first * found->factor;
}

bool isNameChar(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'
        || c == '-' || c == '.';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, isNameChar);
}

std::size_t lineOfNode(const YAML::Node &node)
{
    return node.Mark().is_null() ? 0 : static_cast<std::size_t>(node.Mark().line) + 1;
}

} // namespace

YAML::Node loadYaml(std::string_view text, const yaml_limits &limits)
{
    if (text.size() > limits.maxBytes)
        throw settings_error(fmt::format("the document is larger than {} bytes", limits.maxBytes));
    try {
        std::istringstream input{std::string(text)};
        YAML::Parser parser(input);
        limit_checker checker(limits);
        std::size_t documents = 0;
        while (parser.HandleNextDocument(checker))
            ++documents;
        if (documents > 1)
            throw settings_error("only one YAML document is allowed");
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &failure) {
        throw settings_error(fmt::format("line {}: {}", failure.mark.line + 1, failure.msg));
    }
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    constexpr std::array<unit, 4> units = {{{"ms", 1}, {"s", 1e3}, {"min", 60e3}, {"h", 3600e3}}};
    constexpr double maxMilliseconds = 1e12;
    const auto value = parseWithUnit(text, units);
    if (!value || *value > maxMilliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(std::llround(*value));
}

std::optional<double> parsePercent(std::string_view text)
{
    constexpr std::array<unit, 1> units = {{{"%", 0.01}}};
    return parseWithUnit(text, units);
}

std::optional<std::uint64_t> parseBitRate(std::string_view text)
{
    constexpr std::array<unit, 3> units = {{{"kbit/s", 1e3}, {"Mbit/s", 1e6}, {"Gbit/s", 1e9}}};
    constexpr double maxBits = 1e15;
    const auto bits = parseWithUnit(text, units);
    if (!bits || *bits > maxBits)
        return std::nullopt;
    return static_cast<std::uint64_t>(*bits / 8);
}

bool isSocketAddress(const std::string &text, bool zeroPort)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    const std::string_view digits = std::string_view(text).substr(colon + 1);
    unsigned port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc() || end != digits.data() + digits.size() || port > 65535
        || (port == 0 && !zeroPort))
        return false;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    Poco::Net::IPAddress ignored;
    return Poco::Net::IPAddress::tryParse(host, ignored);
}

yaml_map::yaml_map(const YAML::Node &node, std::string path, std::vector<yaml_fault> &faults)
    : m_path(std::move(path))
    , m_line(lineOfNode(node))
    , m_faults(faults)
{
    if (!node.IsMap()) {
        m_faults.push_back({m_line, m_path, "must be a map of keys to values"});
        return;
    }
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            m_faults.push_back({lineOfNode(entry.first), m_path, "a key must be plain text"});
            continue;
        }
        const std::string &key = entry.first.Scalar();
        if (has(key))
            m_faults.push_back({lineOfNode(entry.first), m_path.empty() ? key : m_path + "." + key,
                                "the key is given twice"});
        else
            m_entries.emplace_back(key, entry.second);
    }
}

const YAML::Node *yaml_map::find(const std::string &key) const
{
    const auto found
        = std::ranges::find(m_entries, key, &std::pair<std::string, YAML::Node>::first);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool yaml_map::has(const std::string &key) const
{
    return find(key) != nullptr;
}

std::size_t yaml_map::lineOf(const std::string &key) const
{
    const YAML::Node *node = find(key);
    return node ? lineOfNode(*node) : m_line;
}

void yaml_map::fault(const std::string &key, const std::string &reason)
{
    m_faults.push_back({lineOf(key), m_path.empty() ? key : m_path + "." + key, reason});
}

std::optional<std::string> yaml_map::scalar(const std::string &key, bool required)
{
    m_requestedKeys.insert(key);
    const YAML::Node *node = find(key);
    if (!node) {
        if (required)
            fault(key, "is missing");
        return std::nullopt;
    }
    if (!node->IsScalar()) {
        fault(key, "must be a single value");
        return std::nullopt;
    }
    return node->Scalar();
}

std::string yaml_map::text(const std::string &key)
{
    const auto value = scalar(key, true);
    if (value && value->empty())
        fault(key, "must not be empty");
    return value.value_or("");
}

std::string yaml_map::textOr(const std::string &key, const std::string &fallback)
{
    return scalar(key, false).value_or(fallback);
}

std::string yaml_map::name(const std::string &key)
{
    const auto value = scalar(key, true);
    if (value && !isName(*value))
        fault(key, fmt::format("must be 1 to {} letters, digits, '_', '-' or '.'", maxNameBytes));
    return value.value_or("");
}

std::string yaml_map::address(const std::string &key, bool zeroPort)
{
    const auto value = scalar(key, true);
    if (value && !isSocketAddress(*value, zeroPort))
        fault(key, "must be IP:port with a port of 1 to 65535, for example 192.0.2.1:8080");
    return value.value_or("");
}

std::uint64_t yaml_map::integer(const std::string &key, std::uint64_t minimum,
                                std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const auto value = scalar(key, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    std::uint64_t number = 0;
    const char *end = value->data() + value->size();
    const auto [rest, failure] = std::from_chars(value->data(), end, number);
    if (failure != std::errc() || rest != end || number < minimum || number > maximum) {
        fault(key, fmt::format("must be a whole number from {} to {}", minimum, maximum));
        return fallback.value_or(minimum);
    }
    return number;
}

std::chrono::milliseconds yaml_map::duration(const std::string &key,
                                             std::chrono::milliseconds minimum,
                                             std::chrono::milliseconds maximum,
                                             std::optional<std::chrono::milliseconds> fallback)
{
    const auto value = scalar(key, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    const auto parsed = parseDuration(*value);
    if (!parsed) {
        fault(key, "must be a time with its unit: ms, s, min or h, for example 200ms");
        return fallback.value_or(minimum);
    }
    if (*parsed < minimum || *parsed > maximum) {
        fault(key, fmt::format("must be from {}ms to {}ms", minimum.count(), maximum.count()));
        return fallback.value_or(minimum);
    }
    return *parsed;
}

double yaml_map::percent(const std::string &key, double minimum, double maximum,
                         std::optional<double> fallback)
{
    const auto value = scalar(key, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    const auto parsed = parsePercent(*value);
    if (!parsed || *parsed < minimum || *parsed > maximum) {
        fault(key,
              fmt::format("must be a percentage from {}% to {}%, for example 10%", minimum * 100,
                          maximum * 100));
        return fallback.value_or(minimum);
    }
    return *parsed;
}

std::uint64_t yaml_map::bitRate(const std::string &key)
{
    const auto value = scalar(key, true);
    if (!value)
        return 0;
    const auto parsed = parseBitRate(*value);
    if (!parsed || *parsed == 0)
        fault(key, "must be a rate with its unit: kbit/s, Mbit/s or Gbit/s, for example 300Mbit/s");
    return parsed.value_or(0);
}

bool yaml_map::boolean(const std::string &key, bool fallback)
{
    const auto value = scalar(key, false);
    if (!value)
        return fallback;
    if (*value != "true" && *value != "false")
        fault(key, "must be true or false");
    return *value == "true";
}

std::vector<std::string> yaml_map::names(const std::string &key)
{
    m_requestedKeys.insert(key);
    const YAML::Node *node = find(key);
    std::vector<std::string> result;
    if (!node || !node->IsSequence()) {
        fault(key, "must be a list of names");
        return result;
    }
    for (const auto &item : *node) {
        if (!item.IsScalar() || !isName(item.Scalar()))
            fault(key, "must contain only names of letters, digits, '_', '-' or '.'");
        else if (std::ranges::count(result, item.Scalar()) > 0)
            fault(key, fmt::format("names '{}' twice", item.Scalar()));
        else
            result.push_back(item.Scalar());
    }
    return result;
}

void yaml_map::map(const std::string &key, bool required,
                   const std::function<void(yaml_map &)> &read)
{
    m_requestedKeys.insert(key);
    const YAML::Node *node = find(key);
    if (!node) {
        if (required)
            fault(key, "is missing");
        return;
    }
    yaml_map inner(*node, m_path.empty() ? key : m_path + "." + key, m_faults);
    read(inner);
    inner.finish();
}

void yaml_map::list(const std::string &key, const std::function<void(yaml_map &)> &read)
{
    m_requestedKeys.insert(key);
    const YAML::Node *node = find(key);
    if (!node)
        return;
    if (!node->IsSequence()) {
        fault(key, "must be a list");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : *node) {
        const std::string base = m_path.empty() ? key : m_path + "." + key;
        yaml_map inner(item, fmt::format("{}[{}]", base, index++), m_faults);
        read(inner);
        inner.finish();
    }
}

void yaml_map::finish()
{
    for (const auto &[key, node] : m_entries)
        if (!m_requestedKeys.contains(key))
            fault(key, "unknown key");
}

std::string formatFaults(const std::vector<yaml_fault> &faults)
{
    std::string text;
    for (const yaml_fault &fault : faults)
        text += fmt::format("{}line {}: {}: {}", text.empty() ? "" : "\n", fault.line, fault.path,
                            fault.reason);
    return text;
}

} // namespace buckthorngrade
