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

// A TCP connection failed, was closed too early or timed out.
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

// TCP connection with a receive buffer, whose operations take a deadline. It counts the bytes that
// the kernel accepted for sending, so that a caller can tell whether any part of a request may have
// been sent. Only interrupt() may be called from other threads.
class socket_stream
{
public:
    static constexpr std::size_t bufferBytes = 64 * 1024;

    // Sets TCP_NODELAY, because a small body that is sent after its head would otherwise wait for
    // a delayed ACK (43 ms for a POST of 9 bytes).
    explicit socket_stream(const Poco::Net::StreamSocket &socket);
    // Connects to "IP:port". Throws socket_error.
    static socket_stream connect(const std::string &address, steady_time deadline);

    int descriptor() const;

    // Waits until data can be read or the peer has closed. Returns false at the deadline.
    bool waitReadable(steady_time deadline) const;
    // Reads at least one byte into the buffer. Returns false at the end of the stream, which the
    // peer has closed in order. Throws socket_error on failure, also if a write reported the
    // failure before, or at the deadline.
    bool fill(steady_time deadline);
    std::string_view buffered() const { return {m_buffer.data() + m_begin, m_end - m_begin}; }
    void consume(std::size_t count) { m_begin += count; }

    // Sends all of `bytes`. Throws socket_error on failure or at the deadline.
    void write(std::string_view bytes, steady_time deadline);
    // Like write(), but stops as soon as data can be read. Returns the number of bytes sent.
    std::size_t writeUntilReadable(std::string_view bytes, steady_time deadline);
    // Number of bytes that the kernel has accepted for sending on this connection.
    std::uint64_t written() const { return m_written; }

    // Returns whether the peer has closed its sending side or the connection has failed.
    bool hasPeerDisconnected() const;
    // Resets the connection, so that the peer can't mistake partial data for a complete message.
    void abort();
    // Lingering close: shuts down the sending side, then reads and discards input for up to one
    // second. Closing with unread input would send a reset, which can destroy a response that the
    // peer has not read yet.
    void lingeringClose();
    // Shuts down the sending side and discards input until the peer closes the connection,
    // `deadline` passes or 4 MiB have been discarded. Then closes the connection.
    void shutdownAndAwaitPeer(steady_time deadline);
    // Shuts down both directions, which wakes a thread that is blocked in another member function.
    // Thread-safe.
    void interrupt();

private:
    bool trySend(std::string_view &bytes);
    void close();

    Poco::Net::StreamSocket m_socket;
    // Keeps interrupt() from using the descriptor after close(), when its number may be reused.
    std::unique_ptr<std::mutex> m_closeMutex = std::make_unique<std::mutex>();
    bool m_isClosed = false;
    bool m_hasFailed = false; // a send returned the error of the connection
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::uint64_t m_written = 0;
};

// Waits for `events` (see poll.h) on `descriptor`, or for the peer of `watched` to close unless
// `watched` is -1. Returns the events of `descriptor`, -1 if only `watched` was closed, or 0 at the
// deadline.
int waitForEvents(int descriptor, int events, steady_time deadline, int watched = -1);

} // namespace buckthorngrade
