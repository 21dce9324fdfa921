#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// A TCP connection that broke, ended too early or made no progress in time.
class socket_error : public error
{
public:
    enum class kind { timeout, closed };

    socket_error(kind what, const std::string &reason)
        : error(reason)
        , m_kind(what)
    { }
    bool isTimeout() const { return m_kind == kind::timeout; }

private:
    kind m_kind;
};

// Buffered, non-blocking TCP connection whose operations take a deadline. It counts the bytes that
// the system accepted for sending, so that its user knows whether a request can have left. Used by
// one thread, except interrupt().
class socket_stream
{
public:
    static constexpr std::size_t bufferBytes = 64 * 1024;

    // Sets TCP_NODELAY: a small body after its head would otherwise wait for a delayed ACK (43 ms
    // were measured for a POST of 9 bytes).
    explicit socket_stream(const Poco::Net::StreamSocket &socket);
    // Connects to "IP:port". Throws socket_error.
    static socket_stream connect(const std::string &address, steady_time deadline);

    int descriptor() const;

    // Waits until something can be read or the peer closed; false at the deadline.
    bool waitReadable(steady_time deadline) const;
    // Reads at least one byte into the buffer. False at the end of the stream. Throws socket_error.
    bool fill(steady_time deadline);
    std::string_view buffered() const { return {m_buffer.data() + m_begin, m_end - m_begin}; }
    void consume(std::size_t count) { m_begin += count; }

    // Sends all of `bytes`. Throws socket_error.
    void write(std::string_view bytes, steady_time deadline);
    // As write(), but stops as soon as something can be read. Returns the number of bytes sent.
    std::size_t writeUntilReadable(std::string_view bytes, steady_time deadline);
    // Bytes accepted by the system since the connection was made.
    std::uint64_t written() const { return m_written; }

    // The peer closed its sending side or the connection broke.
    bool hasPeerLeft() const;
    // Closes with a reset, so that the peer can't take what it got for complete.
    void abort();
    // Ends the sending side, then reads and discards for a short time, because closing with unread
    // input sends a reset that can destroy an answer under way.
    void closeGently();
    // Ends the sending side and discards input until the peer has closed too, at most until
    // `deadline`; then closes.
    void endAndAwaitPeer(steady_time deadline);
    // Ends both directions, so that a thread that waits in another member goes on. Thread-safe.
    void interrupt();

private:
    bool sendSome(std::string_view &bytes);
    void close();

    Poco::Net::StreamSocket m_socket;
    // The descriptor's number may belong to another socket once it is closed.
    std::unique_ptr<std::mutex> m_closeMutex = std::make_unique<std::mutex>();
    bool m_isClosed = false;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::uint64_t m_written = 0;
};

// Waits for `events` (poll.h) on one descriptor, or for the end of the stream on `watched` if it is
// not -1. Returns the events of the first descriptor, -1 if `watched` ended first, 0 at the
// deadline.
int waitForEvents(int descriptor, int events, steady_time deadline, int watched = -1);

} // namespace buckthorngrade
