#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthorngrade {

struct socket_address
{
    std::string host; // IPv4 in dotted-decimal notation
    std::uint16_t port = 0;

    // Parses "IP:port". Throws net_error if `text` is malformed.
    static socket_address parse(std::string_view text);
    std::string toString() const;
    auto operator<=>(const socket_address &) const = default;
};

enum class close_reason {
    ended, // orderly close by the peer
    failed, // reset, timed out or refused
};

// A non-blocking TCP connection on an event loop. Received bytes are appended to input(). Sent
// bytes are buffered until the kernel accepts them. Callbacks may close the connection but must not
// destroy it; use event_loop::post() for that.
class stream_socket final : private descriptor_watcher
{
public:
    struct handlers
    {
        std::function<void()> onConnected = [] {};
        std::function<void()> onInput = [] {}; // data was appended to input()
        std::function<void(close_reason)> onClosed = [](close_reason) {}; // not after close()
        std::function<void()> onSent = [] {}; // the send buffer is empty again
    };

    // Takes ownership of the descriptor of an accepted connection.
    stream_socket(event_loop &loop, int descriptor);
    // Starts connecting. A failed connection attempt is reported to onClosed from the loop. Throws
    // net_error if the attempt can't be started.
    stream_socket(event_loop &loop, const socket_address &to);
    ~stream_socket() override;
    stream_socket(const stream_socket &) = delete;
    stream_socket &operator=(const stream_socket &) = delete;

    void setHandlers(handlers callbacks) { m_handlers = std::move(callbacks); }
    void send(std::string_view bytes);
    std::string &input() { return m_input; }
    const std::string &input() const { return m_input; }
    bool isConnected() const { return m_isConnected; }
    bool isOpen() const { return m_descriptor >= 0; }
    bool hasUnsent() const { return !m_output.empty(); }
    // Number of bytes that the kernel has not accepted yet.
    std::size_t unsentBytes() const { return m_output.size(); }
    // Number of bytes that the kernel has accepted since the connection was opened.
    std::uint64_t sentBytes() const { return m_sentBytes; }
    // Number of bytes that the peer has not acknowledged yet, in this buffer and in the kernel's.
    std::uint64_t undeliveredBytes() const;
    // While paused, received bytes stay in the kernel's buffer. A close by the peer is still
    // detected.
    void pauseReading(bool isPaused);
    // Sets the maximum number of bytes that are read before onInput is called.
    void limitReading(std::size_t bytes) { m_readLimit = bytes; }
    static constexpr std::size_t defaultReadLimitBytes = 64 * 1024;
    void close();
    // Shuts down the sending side. Input from the peer is still read.
    void shutdownSending();
    // Resets the connection, so that the peer can't mistake partial data for a complete message.
    void reset();
    const std::string &peerHost() const { return m_peerHost; }

private:
    void descriptorReady(std::uint32_t events) override;
    void readAvailable();
    void writePending();
    void updateEvents();
    void fail(close_reason reason);
    void initialize();

    event_loop &m_loop;
    int m_descriptor;
    bool m_isConnected;
    bool m_isPaused = false;
    bool m_hasFailed = false; // a send returned the error of the connection
    std::size_t m_readLimit = defaultReadLimitBytes;
    std::uint32_t m_events = 0;
    std::string m_input;
    std::string m_output;
    std::uint64_t m_sentBytes = 0;
    std::string m_peerHost;
    handlers m_handlers;
};

// Accepts connections on one address.
class stream_listener final : private descriptor_watcher
{
public:
    // Throws net_error if the address can't be bound.
    stream_listener(event_loop &loop, const socket_address &address,
                    std::function<void(int descriptor)> onAccepted);
    ~stream_listener() override;
    stream_listener(const stream_listener &) = delete;
    stream_listener &operator=(const stream_listener &) = delete;

    // Returns the address with the actual port.
    const socket_address &address() const { return m_address; }
    void close();

private:
    void descriptorReady(std::uint32_t events) override;

    event_loop &m_loop;
    int m_descriptor;
    socket_address m_address;
    std::function<void(int)> m_onAccepted;
};

} // namespace buckthorngrade
