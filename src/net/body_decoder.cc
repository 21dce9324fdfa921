#include "net/body_decoder.h"

#include <algorithm>
#include <charconv>

namespace buckthorngrade {

namespace {

constexpr int badRequest = 400;
constexpr std::size_t maxChunkLineBytes = 256;
constexpr std::size_t maxChunkDigits = 15;

// Parses the size at the start of a chunk line. Chunk extensions are ignored.
std::uint64_t parseChunkSize(std::string_view line)
{
    const std::string_view digits = line.substr(0, line.find_first_of("; \t"));
    std::uint64_t size = 0;
    const auto [end, failure]
        = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    if (digits.empty() || digits.size() > maxChunkDigits || failure != std::errc()
        || end != digits.data() + digits.size())
        throw http_error(badRequest, "malformed chunk size");
    return size;
}

} // namespace

body_decoder::body_decoder(const http_head &head)
    : m_framing(head.framing)
    , m_remainingBytes(head.contentLength)
    , m_isComplete(head.framing == body_framing::none
                   || (head.framing == body_framing::length && head.contentLength == 0))
{ }

std::size_t body_decoder::decode(std::string_view input, std::string &body)
{
    if (m_isComplete)
        return 0;
    if (m_framing == body_framing::chunked)
        return decodeChunked(input, body);
    if (m_framing == body_framing::until_close) {
        body.append(input);
        return input.size();
    }
    const std::size_t taken
        = static_cast<std::size_t>(std::min<std::uint64_t>(m_remainingBytes, input.size()));
    body.append(input.substr(0, taken));
    m_remainingBytes -= taken;
    m_isComplete = m_remainingBytes == 0;
    return taken;
}

std::size_t body_decoder::decodeChunked(std::string_view input, std::string &body)
{
    std::size_t used = 0;
    while (!m_isComplete) {
        const std::string_view rest = input.substr(used);
        if (m_chunkState == chunk_state::data) {
            const std::size_t taken
                = static_cast<std::size_t>(std::min<std::uint64_t>(m_remainingBytes, rest.size()));
            body.append(rest.substr(0, taken));
            m_remainingBytes -= taken;
            used += taken;
            if (m_remainingBytes > 0)
                return used;
            m_chunkState = chunk_state::data_end;
            continue;
        }
        const auto end = rest.find("\r\n");
        if (end == std::string_view::npos) {
            if (rest.size() > maxChunkLineBytes)
                throw http_error(badRequest, "chunk line too long");
            return used;
        }
        const std::string_view line = rest.substr(0, end);
        used += end + 2;
        if (m_chunkState == chunk_state::data_end) {
            if (!line.empty())
                throw http_error(badRequest, "malformed end of a chunk");
            m_chunkState = chunk_state::size;
        } else if (m_chunkState == chunk_state::size) {
            m_remainingBytes = parseChunkSize(line);
            m_chunkState = m_remainingBytes == 0 ? chunk_state::trailer : chunk_state::data;
        } else if (line.empty()) {
            m_isComplete = true;
        } else {
            m_trailerBytes += line.size();
            if (m_trailerBytes > maxHeadBytes)
                throw http_error(badRequest, "trailers too long");
        }
    }
    return used;
}

} // namespace buckthorngrade
