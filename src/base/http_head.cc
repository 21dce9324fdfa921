#include "base/http_head.h"

#include <algorithm>
#include <charconv>

namespace buckthorngrade {

namespace {

constexpr int badRequest = 400;
constexpr int headTooLarge = 431;
constexpr int notImplemented = 501;
constexpr int versionNotSupported = 505;
constexpr std::size_t maxLengthDigits = 18;
constexpr std::string_view lineEnd = "\r\n";

bool isTokenCharacter(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || symbols.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

[[noreturn]] void reject(const std::string &reason, int status = badRequest)
{
    throw http_error(status, reason);
}

// Calls `use` with each element of a comma-separated list.
template <typename Use>
void forEachElement(std::string_view list, Use use)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        use(trim(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

// Parses the header fields and sets the framing, `keepAlive` and `expectsContinue` from them.
void parseFields(std::string_view lines, http_head &head)
{
    bool hasLength = false;
    bool hasEncoding = false;
    head.keepAlive = head.isHttp11;
    while (!lines.empty()) {
        const auto end = lines.find(lineEnd);
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(end + lineEnd.size());
        if (line.empty())
            break;
        if (head.fields.size() == maxHeadFields)
            reject("too many header fields", headTooLarge);
        const auto &[name, value] = head.fields.emplace_back(parseField(line));
        if (equalsIgnoreCase(name, "Content-Length")) {
            if (hasLength)
                reject("repeated Content-Length");
            hasLength = true;
            const bool isNumber = !value.empty() && value.size() <= maxLengthDigits
                && std::ranges::all_of(value, [](char c) { return c >= '0' && c <= '9'; });
            if (!isNumber)
                reject("malformed Content-Length");
            std::from_chars(value.data(), value.data() + value.size(), head.contentLength);
            head.framing = body_framing::length;
        } else if (equalsIgnoreCase(name, "Transfer-Encoding")) {
            if (hasEncoding)
                reject("repeated Transfer-Encoding");
            hasEncoding = true;
            if (!equalsIgnoreCase(value, "chunked"))
                reject("unsupported Transfer-Encoding", notImplemented);
            if (!head.isHttp11)
                reject("Transfer-Encoding in HTTP/1.0");
        } else if (equalsIgnoreCase(name, "Connection")) {
            forEachElement(value, [&](std::string_view option) {
                if (equalsIgnoreCase(option, "close"))
                    head.keepAlive = false;
                else if (equalsIgnoreCase(option, "keep-alive") && !head.isHttp11)
                    head.keepAlive = true;
            });
        } else if (equalsIgnoreCase(name, "Expect")) {
            head.expectsContinue = equalsIgnoreCase(value, "100-continue");
        }
    }
    if (hasLength && hasEncoding)
        reject("Content-Length with Transfer-Encoding");
    if (hasEncoding)
        head.framing = body_framing::chunked;
}

bool parseVersion(std::string_view text)
{
    if (text != "HTTP/1.1" && text != "HTTP/1.0")
        reject("unsupported protocol version", versionNotSupported);
    return text.back() == '1';
}

// Converts a request target to origin form (RFC 9112, section 3.2.1).
std::string originForm(std::string_view target, std::string_view method)
{
    constexpr std::string_view scheme = "http://";
    if (std::ranges::any_of(target, [](char c) { return c <= ' ' || c >= 0x7f; }))
        reject("invalid character in the request target");
    if (target.starts_with(scheme)) {
        const auto slash = target.find('/', scheme.size());
        return slash == std::string_view::npos ? "/" : std::string(target.substr(slash));
    }
    if (!target.starts_with('/') && !(target == "*" && method == "OPTIONS"))
        reject("malformed request target");
    return std::string(target);
}

} // namespace

const std::string *http_head::find(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        fields, [&](const auto &field) { return equalsIgnoreCase(field.first, name); });
    return found == fields.end() ? nullptr : &found->second;
}

std::string http_head::get(std::string_view name) const
{
    const std::string *value = find(name);
    return value ? *value : std::string();
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](char x, char y) { return toLower(x) == toLower(y); });
}

std::optional<std::size_t> findHeadEnd(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size() && i < maxHeadBytes; ++i) {
        const auto c = static_cast<unsigned char>(bytes[i]);
        if (c == '\n' && (i == 0 || bytes[i - 1] != '\r'))
            reject("bare LF in the head");
        if (c == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n')
            reject("bare CR in the head");
        if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') || c == 0x7f)
            reject("control character in the head");
        if (c == '\n' && i >= 3 && bytes[i - 2] == '\n')
            return i + 1;
        if (c == '\n' && i == 1)
            reject("empty line before the head");
    }
    if (bytes.size() >= maxHeadBytes)
        reject("the head is too large", headTooLarge);
    return std::nullopt;
}

std::pair<std::string, std::string> parseField(std::string_view line)
{
    if (line.front() == ' ' || line.front() == '\t')
        reject("obsolete line folding");
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        reject("malformed header field");
    return {std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))};
}

http_head parseRequestHead(std::string_view text)
{
    http_head head;
    const auto end = text.find(lineEnd);
    const std::string_view line = text.substr(0, end);
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    if (second == std::string_view::npos || line.find(' ', second + 1) != std::string_view::npos)
        reject("malformed request line");
    head.method = line.substr(0, first);
    if (!isToken(head.method))
        reject("malformed method");
    head.isHttp11 = parseVersion(line.substr(second + 1));
    head.target = originForm(line.substr(first + 1, second - first - 1), head.method);
    parseFields(text.substr(end + lineEnd.size()), head);
    const auto hosts = std::ranges::count_if(
        head.fields, [](const auto &field) { return equalsIgnoreCase(field.first, "Host"); });
    if (hosts > 1 || (hosts == 0 && head.isHttp11))
        reject("a request needs one Host field");
    return head;
}

http_head parseResponseHead(std::string_view text, bool toHeadRequest)
{
    constexpr std::size_t versionLength = 8;
    constexpr std::size_t statusEnd = 12;
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599; // others are invalid (RFC 9110, section 15)
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    http_head head;
    const auto end = text.find(lineEnd);
    const std::string_view line = text.substr(0, end);
    if (line.size() < statusEnd || line[versionLength] != ' ')
        reject("malformed status line");
    head.isHttp11 = parseVersion(line.substr(0, versionLength));
    const char *digits = line.data() + versionLength + 1;
    const auto [rest, failure] = std::from_chars(digits, line.data() + statusEnd, head.status);
    if (failure != std::errc() || rest != line.data() + statusEnd || head.status < firstStatus
        || head.status > lastStatus || (line.size() > statusEnd && line[statusEnd] != ' '))
        reject("malformed status line");
    head.reason = trim(line.substr(statusEnd));
    parseFields(text.substr(end + lineEnd.size()), head);
    if (toHeadRequest || head.status < 200 || head.status == noContent
        || head.status == notModified)
        head.framing = body_framing::none;
    else if (head.framing == body_framing::none)
        head.framing = body_framing::until_close;
    if (head.framing == body_framing::until_close)
        head.keepAlive = false;
    return head;
}

} // namespace buckthorngrade
