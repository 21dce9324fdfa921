#include "base/http_body.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace buckthorngrade {

namespace {

constexpr int badRequest = 400;
constexpr std::size_t maxLineBytes = 1024;
constexpr std::size_t maxChunkSizeDigits = 15;
constexpr std::size_t maxTrailers = 32;

} // namespace

body_reader::body_reader(socket_stream &stream, const http_head &head)
    : m_stream(stream)
    , m_framing(head.framing)
    , m_remainingBytes(head.framing == body_framing::length ? head.contentLength : 0)
    , m_isComplete(head.framing == body_framing::none
                   || (head.framing == body_framing::length && head.contentLength == 0))
{ }

void body_reader::fillOrThrow(steady_time deadline)
{
    if (!m_stream.fill(deadline))
        throw socket_error(socket_error::kind::closed, "the body ended early");
}

std::string body_reader::readLine(steady_time deadline)
{
    std::string line;
    while (true) {
        while (m_stream.buffered().empty())
            fillOrThrow(deadline);
        const char c = m_stream.buffered().front();
        m_stream.consume(1);
        if (c == '\n') {
            if (line.empty() || line.back() != '\r')
                throw http_error(badRequest, "bare LF in the body's framing");
            line.pop_back();
            return line;
        }
        if (!line.empty() && line.back() == '\r')
            throw http_error(badRequest, "bare CR in the body's framing");
        if ((static_cast<unsigned char>(c) < ' ' && c != '\r' && c != '\t') || c == 0x7f)
            throw http_error(badRequest, "control character in the body's framing");
        if (line.size() == maxLineBytes)
            throw http_error(badRequest, "a line of the body's framing is too long");
        line += c;
    }
}

void body_reader::readChunkStart(steady_time deadline)
{
    if (!m_isFirstChunk && !readLine(deadline).empty())
        throw http_error(badRequest, "a chunk is longer than its size");
    m_isFirstChunk = false;
    const std::string line = readLine(deadline);
    const std::size_t digits = std::min(line.find(';'), line.size());
    const bool hasOnlyDigits = digits > 0 && digits <= maxChunkSizeDigits
        && std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(digits),
                       [](char c) {
                           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')
                               || (c >= 'A' && c <= 'F');
                       });
    if (!hasOnlyDigits)
        throw http_error(badRequest, "malformed chunk size");
    std::from_chars(line.data(), line.data() + digits, m_remainingBytes, 16);
    if (m_remainingBytes == 0)
        readTrailers(deadline);
}

void body_reader::readTrailers(steady_time deadline)
{
    for (std::size_t count = 0; count <= maxTrailers; ++count) {
        const std::string line = readLine(deadline);
        if (line.empty()) {
            m_isComplete = true;
            return;
        }
        parseField(line);
    }
    throw http_error(badRequest, "too many trailer fields");
}

std::size_t body_reader::read(char *to, std::size_t size, steady_time deadline)
{
    if (m_isComplete || size == 0)
        return 0;
    if (m_framing == body_framing::chunked && m_remainingBytes == 0) {
        readChunkStart(deadline);
        if (m_isComplete)
            return 0;
    }
    if (m_stream.buffered().empty()) {
        if (m_framing == body_framing::until_close) {
            if (!m_stream.fill(deadline)) {
                m_isComplete = true;
                return 0;
            }
        } else {
            fillOrThrow(deadline);
        }
    }
    std::size_t count = std::min(size, m_stream.buffered().size());
    if (m_framing != body_framing::until_close)
        count = static_cast<std::size_t>(std::min<std::uint64_t>(count, m_remainingBytes));
    std::memcpy(to, m_stream.buffered().data(), count);
    m_stream.consume(count);
    if (m_framing != body_framing::until_close)
        m_remainingBytes -= count;
    if (m_framing == body_framing::length && m_remainingBytes == 0)
        m_isComplete = true;
    return count;
}

} // namespace buckthorngrade
