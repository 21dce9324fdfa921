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

// Strict parser for HTTP/1.x message heads. It rejects every head that two implementations could
// frame differently. If a proxy and an upstream disagree on where a message ends, they mix up the
// requests of different callers (request smuggling).

// A malformed message. `status` is the status code for the response to a malformed request.
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
    std::uint64_t contentLength = 0; // 0 unless `framing` is length
    bool keepAlive = true;
    bool expectsContinue = false;

    // Returns the first value of the field, or null if there is none. Names are compared without
    // regard to case.
    const std::string *find(std::string_view name) const;
    std::string get(std::string_view name) const;
};

bool equalsIgnoreCase(std::string_view a, std::string_view b);

// Returns the length of the head at the start of `bytes`, including its empty line, or nullopt if
// the head is incomplete. Throws http_error as soon as the bytes can't be the start of a valid
// head: they contain a bare CR or LF or a control character, or the head is too long.
std::optional<std::size_t> findHeadEnd(std::string_view bytes);

// Parse the head that findHeadEnd() delimits. Both throw http_error if it is malformed.
http_head parseRequestHead(std::string_view head);
// `toHeadRequest` marks the response to a HEAD request, which has no body. A status code outside
// 100 to 599 is malformed.
http_head parseResponseHead(std::string_view head, bool toHeadRequest);

// Parses one "name: value" line without its CRLF. Throws http_error if it is malformed.
std::pair<std::string, std::string> parseField(std::string_view line);

} // namespace buckthorngrade
