#include "cli/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>
#include <istream>
#include <ostream>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;

std::string readBody(std::istream &stream)
{
    std::string body;
    std::array<char, 16384> buffer{};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > maxBodyBytes)
            throw http_call_error("the answer is too long");
    }
    return body;
}

} // namespace

http_reply callHttp(const std::string &address, const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &headers, const std::string &body,
                    std::chrono::milliseconds timeout)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(timeout).count()));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : headers)
            request.set(name, value);
        if (!body.empty() || method == Poco::Net::HTTPRequest::HTTP_POST
            || method == Poco::Net::HTTPRequest::HTTP_PUT)
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        http_reply reply{response.getStatus(), response, readBody(stream), address};
        // POCO reports no error if the connection closes before the complete body has arrived.
        if (response.hasContentLength()
            && response.getContentLength64() != static_cast<Poco::Int64>(reply.body.size()))
            throw http_call_error("the answer ended early");
        return reply;
    } catch (const Poco::Exception &failure) {
        throw http_call_error(failure.message().empty()
                                  ? failure.name()
                                  : std::string(failure.name()) + ": " + failure.message());
    }
}

} // namespace buckthorngrade
