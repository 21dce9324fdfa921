#include "net/http_server.h"

#include "base/http_exchange.h"
#include "net/server_connection.h"

#include <unistd.h>

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr int noContent = 204;
constexpr int notModified = 304;

} // namespace

std::string formatResponse(int status, const http_fields &fields, std::string_view body, bool close,
                           bool hasBody)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    for (const auto &[name, value] : fields)
        text += fmt::format("{}: {}\r\n", name, value);
    if (close)
        text += "Connection: close\r\n";
    if (status != noContent && status != notModified)
        text += fmt::format("Content-Length: {}\r\n", body.size());
    text += "\r\n";
    if (hasBody)
        text.append(body);
    return text;
}

void server_exchange::respond(int status, const http_fields &fields, std::string_view responseBody)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    if (m_connection == nullptr)
        return;
    m_response = formatResponse(status, fields, responseBody, false, head.method != "HEAD");
    m_connection->exchangeFinished();
}

void server_exchange::abort()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_isAborted = true;
    if (m_connection != nullptr)
        m_connection->exchangeFinished();
}

http_server::http_server(event_loop &loop, const socket_address &address,
                         http_server_options options, request_handler handler)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_bodyPacer(m_options.bodyBytesPerSecond)
    , m_listener(loop, address, [this](int descriptor) { accept(descriptor); })
{ }

http_server::~http_server() = default;

void http_server::accept(int descriptor)
{
    if (m_connections.size() >= m_options.maxConnections) {
        ::close(descriptor);
        return;
    }
    auto connection = std::make_unique<server_connection>(*this, m_loop, descriptor);
    m_connections.emplace(connection.get(), std::move(connection));
}

// Defers the destruction, because one of the connection's callbacks may be on the call stack.
void http_server::remove(server_connection *connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    std::shared_ptr<server_connection> removed(std::move(found->second));
    m_connections.erase(found);
    m_loop.post([removed] {});
}

bool http_server::owesResponses() const
{
    return std::ranges::any_of(m_connections,
                               [](const auto &item) { return item.first->owesResponse(); });
}

void http_server::closeIdle()
{
    std::vector<server_connection *> idle;
    for (const auto &[connection, owned] : m_connections)
        if (connection->isIdle())
            idle.push_back(connection);
    std::ranges::for_each(idle, &server_connection::close);
}

} // namespace buckthorngrade
