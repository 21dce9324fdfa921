#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Server side of an HTTP/1.1 connection for test programs. POCO's own server hides what tests need:
// whether a request body ended early, when the client leaves, and resets at a chosen moment.
// Used by one thread. Members throw Poco::Exception when the connection breaks.
class http_connection
{
public:
    explicit http_connection(const Poco::Net::StreamSocket &socket);

    // Waits until something can be read; false on timeout.
    bool waitReadable(std::chrono::milliseconds timeout);
    // The first bytes of the next request, without taking them; empty at the end.
    std::string peek();
    // Reads the next request's head. False at the end of the connection or if it is malformed.
    bool readHead(Poco::Net::HTTPRequest &request);
    // Passes the request body to `sink` in parts of at most 64 KB. False if it ended early.
    bool readBody(const Poco::Net::HTTPRequest &request,
                  const std::function<void(std::string_view)> &sink);
    void send(std::string_view bytes);

    // Waits up to `timeout`; true as soon as the client has closed its side.
    bool waitClientLeft(std::chrono::milliseconds timeout);
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
