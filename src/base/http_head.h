#pragma once

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Strict reading of HTTP/1.x heads. Whatever two implementations could frame differently is
// rejected, because a proxy and an upstream that disagree on where a message ends mix up requests
// of different callers.

// A malformed message. `status` is what the sender of a request is told.
class http_error : public error
{
public:
    http_error(int status, const std::string &reason)
        : error(reason)
        , m_status(status)
    { }
    int status() const { return m_status; }

private:
    int m_status;
};

using http_fields = std::vector<std::pair<std::string, std::string>>;

enum class body_framing { none, length, chunked, until_close };

constexpr std::size_t maxHeadBytes = 16 * 1024;
constexpr std::size_t maxHeadFields = 100;

// Head of a request or of a response.
struct http_head
{
    std::string method; // of a request
    std::string target; // of a request, in origin form or "*"
    int status = 0; // of a response
    std::string reason; // of a response
    bool isHttp11 = true;
    http_fields fields;
    body_framing framing = body_framing::none;
    std::uint64_t contentLength = 0; // with framing length; else 0
    bool keepAlive = true;
    bool expectsContinue = false;

    // First value of the field; null if there is none. Names are compared without case.
    const std::string *find(std::string_view name) const;
    std::string get(std::string_view name) const;
};

bool equalsIgnoreCase(std::string_view a, std::string_view b);

// Length of the head at the start of `bytes`, with its empty line; nothing if it is not complete.
// Throws http_error as soon as the part that is there can't be a head: bare CR or LF, control
// characters, too long.
std::optional<std::size_t> findHeadEnd(std::string_view bytes);

// `head` is what findHeadEnd() delimits. Both throw http_error.
http_head parseRequestHead(std::string_view head);
// `toHeadRequest`: the response to a HEAD request, which has no body.
http_head parseResponseHead(std::string_view head, bool toHeadRequest);

// Checks one "name: value" line without its CR LF. Throws http_error.
std::pair<std::string, std::string> parseField(std::string_view line);

} // namespace buckthorngrade
