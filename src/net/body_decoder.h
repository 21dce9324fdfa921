#pragma once

#include "base/http_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Incremental decoder for the body of one HTTP message. It consumes exactly the bytes that the
// head's framing specifies and rejects malformed framing. Non-blocking counterpart of body_reader.
class body_decoder
{
public:
    explicit body_decoder(const http_head &head);

    // Appends the body bytes at the start of `input` to `body` and returns the number of bytes of
    // `input` that were consumed. Throws http_error if the framing is malformed.
    std::size_t decode(std::string_view input, std::string &body);
    bool isComplete() const { return m_isComplete; }
    // Returns whether the body ends when the peer closes the connection.
    bool endsWithConnection() const { return m_framing == body_framing::until_close; }

private:
    enum class chunk_state { size, data, data_end, trailer };

    std::size_t decodeChunked(std::string_view input, std::string &body);

    body_framing m_framing;
    std::uint64_t m_remainingBytes;
    chunk_state m_chunkState = chunk_state::size;
    bool m_isComplete;
    std::size_t m_trailerBytes = 0;
};

} // namespace buckthorngrade
