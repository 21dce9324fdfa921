#pragma once

#include "base/http_head.h"
#include "base/socket_stream.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthorngrade {

// Reads the body of one message from a connection, strictly: exactly what the head announced.
class body_reader
{
public:
    // `stream` must outlive this.
    body_reader(socket_stream &stream, const http_head &head);

    // Reads up to `size` bytes. 0 means that the body ended cleanly. Throws http_error if the
    // framing is malformed, socket_error if the connection ends too early or nothing comes in time.
    std::size_t read(char *to, std::size_t size, steady_time deadline);
    // The end was read; the connection stands at the next message.
    bool isComplete() const { return m_isComplete; }

private:
    void readChunkStart(steady_time deadline);
    void readTrailers(steady_time deadline);
    std::string readLine(steady_time deadline);
    void fillOrThrow(steady_time deadline);

    socket_stream &m_stream;
    const body_framing m_framing;
    std::uint64_t m_left; // of the body, or of the chunk
    bool m_isFirstChunk = true;
    bool m_isComplete;
};

} // namespace buckthorngrade
