#pragma once

#include "base/http_exchange.h"
#include "entry/entry_error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthorngrade {

// The request body could not be read, because the caller's connection failed or the body is
// malformed. status() is the HTTP status to respond with, or 0 if the caller has disconnected.
class caller_error : public entry_error
{
public:
    caller_error(int status, const std::string &reason)
        : entry_error(reason)
        , m_status(status)
    { }
    int status() const { return m_status; }

private:
    int m_status;
};

// A caller's request body. Its first part is buffered, so that it can be sent again. The body can
// be replayed as long as nothing after that part has been read.
class request_body
{
public:
    static constexpr std::size_t maxBufferedBytes = 64UL * 1024;

    // `exchange` must outlive this.
    explicit request_body(http_exchange &exchange);

    // Reads the first part. All members that read throw caller_error on failure.
    void readFirstPart(steady_time deadline);
    std::string_view firstPart() const { return m_firstPart; }
    // Returns true if the first part is the whole body.
    bool isFullyBuffered() const { return m_exchange.isBodyComplete() && !m_hasReadPastFirstPart; }
    bool isReplayable() const { return !m_hasReadPastFirstPart; }
    // Reads the next bytes after the first part; empty at the end of the body. The result is valid
    // until the next call.
    std::string_view readNext(steady_time deadline);

private:
    std::size_t read(char *to, std::size_t size, steady_time deadline);

    http_exchange &m_exchange;
    std::string m_firstPart;
    std::string m_buffer;
    bool m_hasReadPastFirstPart = false;
};

} // namespace buckthorngrade
