#include "base/http_listener.h"

#include "base/error.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

class request_handler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit request_handler(http_handler &handler)
        : m_handler(handler)
    { }
    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        m_handler.handle(request, response);
    }

private:
    http_handler &m_handler;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(http_handler &handler)
        : m_handler(handler)
    { }
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new request_handler(m_handler);
    }

private:
    http_handler &m_handler;
};

Poco::Timespan toTimespan(std::chrono::milliseconds value)
{
    return {static_cast<Poco::Timespan::TimeDiff>(value.count()) * 1000};
}

} // namespace

http_listener::http_listener(const std::string &address, http_handler &handler,
                             const http_listener_options &options)
    : m_pool(2, static_cast<int>(options.maxConnections) + 1)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true, false);
        socket.listen(128);
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(static_cast<int>(options.maxConnections));
        params->setMaxQueued(64);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
        params->setKeepAliveTimeout(toTimespan(options.idleTimeout));
        params->setTimeout(toTimespan(options.readTimeout));
        m_server = std::make_unique<Poco::Net::HTTPServer>(new handler_factory(handler), m_pool,
                                                           socket, params);
        m_server->start();
    } catch (const Poco::Exception &failure) {
        throw error(fmt::format("can't listen on {}: {}", address, failure.displayText()));
    }
}

http_listener::~http_listener()
{
    m_server->stopAll(true);
    m_pool.stopAll();
}

std::string http_listener::address() const
{
    return m_server->socket().address().toString();
}

void http_listener::stopAccepting()
{
    m_server->stop();
}

void sendBody(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType,
              const std::string &body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(contentType);
    response.sendBuffer(body.data(), body.size());
}

} // namespace buckthorngrade
