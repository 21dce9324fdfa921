#include "cli/http_call.h"

#include "base/http_body.h"
#include "base/http_response.h"
#include "base/socket_stream.h"

#include <fmt/format.h>

#include <array>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;

std::string formatRequest(const std::string &address, const std::string &method,
                          const std::string &path,
                          const std::map<std::string, std::string> &headers,
                          const std::string &body)
{
    std::string text
        = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", method, path, address);
    for (const auto &[name, value] : headers)
        text += fmt::format("{}: {}\r\n", name, value);
    if (!body.empty() || method == "POST" || method == "PUT")
        text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
}

} // namespace

http_reply callHttp(const std::string &address, const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &headers, const std::string &body,
                    std::chrono::milliseconds timeout)
{
    const auto deadline = [timeout] { return std::chrono::steady_clock::now() + timeout; };
    try {
        socket_stream stream = socket_stream::connect(address, deadline());
        stream.write(formatRequest(address, method, path, headers, body), deadline());
        http_reply reply{readResponseHead(stream, method == "HEAD", deadline()), {}, address};
        body_reader reader(stream, reply.head);
        std::array<char, 16 * 1024> part{};
        while (const std::size_t count = reader.read(part.data(), part.size(), deadline())) {
            reply.body.append(part.data(), count);
            if (reply.body.size() > maxBodyBytes)
                throw http_call_error("the response is too long");
        }
        return reply;
    } catch (const socket_error &failure) {
        throw http_call_error(failure.what());
    } catch (const http_error &failure) {
        throw http_call_error(fmt::format("malformed response: {}", failure.what()));
    }
}

} // namespace buckthorngrade
