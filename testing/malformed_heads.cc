#include "testing/malformed_heads.h"

#include <fmt/format.h>

namespace buckthorngrade {

using namespace std::string_literals;

std::vector<std::string> malformedStatusCodes()
{
    return {"000", "099", "600", "999", "0200", "20",   "2",
            "",    "-20", "+20", "2x0", "0x2",  " 200", "200\x01"};
}

std::vector<std::string> malformedFieldLines()
{
    return {
        "Bad Name: v",
        "Bad\tName: v",
        "Bad\0Name: v"s,
        "Bad\x01Name: v",
        "Bad\rName: v",
        "Bad\x7fName: v",
        "Bad\x80Name: v",
        "Bad[Name: v",
        "Bad\"Name: v",
        " Name: v",
        "\tName: v",
        "Name : v",
        ": v",
        "NameWithoutColon",
        "Content Length: 1",
        "Content-Length : 1",
        "Content-Length\x01: 1",
        "Transfer-Encoding\t: chunked",
        "Transfer-Encoding\x0b: chunked",
        "Name: v\x01",
        "Name: v\0"s,
        "Content-Length: -1",
        "Content-Length: 1, 1",
    };
}

std::string printable(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= ' ' && byte < 0x7f)
            result += c;
        else
            result += fmt::format("\\x{:02x}", byte);
    }
    return result;
}

} // namespace buckthorngrade
