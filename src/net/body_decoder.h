#pragma once

#include "base/http_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Takes the body of one message out of a stream of bytes, strictly: exactly what the head
// announced. The non-blocking counterpart of body_reader.
class body_decoder
{
public:
    explicit body_decoder(const http_head &head);

    // Appends body bytes from the front of `input` to `body` and returns how many bytes of `input`
    // were used. Throws http_error for malformed framing.
    std::size_t decode(std::string_view input, std::string &body);
    bool isComplete() const { return m_isComplete; }
    // The body lasts until the peer closes the connection.
    bool endsWithConnection() const { return m_framing == body_framing::until_close; }

private:
    enum class chunk_part { size, data, data_end, trailer };

    std::size_t decodeChunked(std::string_view input, std::string &body);

    body_framing m_framing;
    std::uint64_t m_left;
    chunk_part m_part = chunk_part::size;
    bool m_isComplete;
    std::size_t m_trailerBytes = 0;
};

} // namespace buckthorngrade
