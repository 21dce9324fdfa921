#pragma once

#include "base/http_head.h"
#include "base/socket_stream.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthorngrade {

// Reads the body of one HTTP message from a connection. It reads exactly the bytes that the head's
// framing specifies and rejects malformed framing.
class body_reader
{
public:
    // `stream` must outlive this object.
    body_reader(socket_stream &stream, const http_head &head);

    // Reads up to `size` bytes. Returns 0 once the complete body has been read. Throws http_error
    // if the framing is malformed, and socket_error if the connection ends before the body does or
    // no data arrives before `deadline`.
    std::size_t read(char *to, std::size_t size, steady_time deadline);
    // The complete body has been read, so the connection is positioned at the next message.
    bool isComplete() const { return m_isComplete; }

private:
    void readChunkStart(steady_time deadline);
    void readTrailers(steady_time deadline);
    std::string readLine(steady_time deadline);
    void fillOrThrow(steady_time deadline);

    socket_stream &m_stream;
    const body_framing m_framing;
    std::uint64_t m_remainingBytes; // bytes of the body, or of the current chunk
    bool m_isFirstChunk = true;
    bool m_isComplete;
};

} // namespace buckthorngrade
