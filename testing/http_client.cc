#include "testing/http_client.h"

#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

std::string formatRequest(const http_request &request)
{
    std::string text
        = fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n", request.method, request.path);
    for (const auto &[name, value] : request.headers)
        text += fmt::format("{}: {}\r\n", name, value);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    return text + "\r\n" + request.body;
}

void readResponse(http_connection &connection, const http_request &request, http_response &result)
{
    constexpr int firstFinalStatus = 200;
    Poco::Net::HTTPResponse response;
    do {
        response.clear();
        if (!connection.readHead(response)) {
            result.failure = "no response head";
            return;
        }
    } while (response.getStatus() < firstFinalStatus);
    result.status = response.getStatus();
    for (const auto &[name, value] : response)
        result.headers[Poco::toLower(name)] = value;
    const auto append = [&](std::string_view part) { result.body.append(part); };
    const bool hasNoBody = request.method == "HEAD"
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
    if (hasNoBody) {
        result.isComplete = true;
    } else if (!response.hasContentLength() && !response.getChunkedTransferEncoding()) {
        connection.readToEnd(append);
        // A send that failed may have returned the reset that ended the body.
        result.isComplete = result.failure.empty();
    } else {
        result.isComplete = connection.readBody(response, append);
        if (!result.isComplete)
            result.failure = "the response body ended early";
    }
}

} // namespace

std::string http_response::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_response exchange(http_connection &connection, const http_request &request)
{
    http_response result;
    try {
        connection.send(formatRequest(request));
    } catch (const Poco::Exception &failure) {
        // A response can be there although the server did not read the whole request.
        result.failure = failure.displayText();
    }
    try {
        readResponse(connection, request, result);
    } catch (const Poco::Exception &failure) {
        result.failure = failure.displayText();
    }
    return result;
}

http_response exchange(const std::string &address, const http_request &request)
{
    try {
        const auto timeout = Poco::Timespan(std::chrono::microseconds(request.timeout).count());
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), timeout);
        socket.setReceiveTimeout(timeout);
        socket.setSendTimeout(timeout);
        http_connection connection(socket);
        return exchange(connection, request);
    } catch (const Poco::Exception &failure) {
        http_response result;
        result.failure = failure.displayText();
        return result;
    }
}

} // namespace buckthorngrade
