#pragma once

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// One side of an HTTP/1.1 connection, for test programs. POCO's own sessions hide what tests need:
// whether a body ended early, when the other side leaves, and resets at a chosen moment.
// Used by one thread. Members throw Poco::Exception when the connection breaks.
class http_connection
{
public:
    explicit http_connection(const Poco::Net::StreamSocket &socket);

    // Waits until something can be read; false on timeout.
    bool waitReadable(std::chrono::milliseconds timeout);
    // The first bytes of the next message, without taking them; empty at the end.
    std::string peek();
    // Reads the head of the next request or response. False at the end of the connection or if it
    // is malformed.
    bool readHead(Poco::Net::HTTPMessage &message);
    // Passes the body to `sink` in parts of at most 64 KB. False if it ended early. A message
    // without a length has no body.
    bool readBody(const Poco::Net::HTTPMessage &message,
                  const std::function<void(std::string_view)> &sink);
    // Passes everything up to the end of the connection.
    void readToEnd(const std::function<void(std::string_view)> &sink);
    void send(std::string_view bytes);

    // Waits up to `timeout`; true as soon as the other side has closed.
    bool waitPeerLeft(std::chrono::milliseconds timeout);
    // Closes with a reset instead of a clean end.
    void reset();
    // Closes cleanly. Reads and discards up to 64 MB first, since closing with unread input would
    // send a reset that can destroy the answer.
    void closeCleanly();

private:
    bool fill();
    bool take(std::size_t count, const std::function<void(std::string_view)> &sink);
    bool readLine(std::string &line);

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

// Head and body of a small answer.
std::string formatAnswer(int status, std::string_view headers, std::string_view body,
                         bool keepAlive);

} // namespace buckthorngrade
