#include "base/poco_exchange.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <istream>
#include <ostream>
#include <streambuf>

namespace buckthorngrade {

namespace {

constexpr std::size_t bufferBytes = 4096;

class exchange_buffer final : public std::streambuf
{
public:
    explicit exchange_buffer(http_exchange &exchange)
        : m_exchange(exchange)
    {
        setp(m_out.data(), m_out.data() + m_out.size());
    }

protected:
    int_type underflow() override
    {
        const std::size_t count = m_exchange.readBody(m_in.data(), m_in.size());
        if (count == 0)
            return traits_type::eof();
        setg(m_in.data(), m_in.data(), m_in.data() + count);
        return traits_type::to_int_type(*gptr());
    }
    int_type overflow(int_type c) override
    {
        sync();
        if (!traits_type::eq_int_type(c, traits_type::eof()))
            sputc(traits_type::to_char_type(c));
        return traits_type::not_eof(c);
    }
    int sync() override
    {
        m_exchange.sendBody({pbase(), static_cast<std::size_t>(pptr() - pbase())});
        setp(m_out.data(), m_out.data() + m_out.size());
        return 0;
    }

private:
    http_exchange &m_exchange;
    std::array<char, bufferBytes> m_in{};
    std::array<char, bufferBytes> m_out{};
};

class exchange_response final : public Poco::Net::HTTPServerResponse
{
public:
    exchange_response(http_exchange &exchange, exchange_buffer &buffer)
        : m_exchange(exchange)
        , m_stream(&buffer)
    {
        m_stream.exceptions(std::ios::badbit);
    }
    std::ostream &stream() { return m_stream; }

    void sendContinue() override { }
    std::ostream &send() override
    {
        sendHead(hasContentLength() ? std::optional<std::uint64_t>(getContentLength64())
                                    : std::nullopt);
        return m_stream;
    }
    void sendBuffer(const void *data, std::size_t size) override
    {
        sendHead(size);
        m_exchange.sendBody({static_cast<const char *>(data), size});
    }
    void sendFile(const std::string &, const std::string &) override
    {
        throw Poco::NotImplementedException("sendFile");
    }
    void redirect(const std::string &uri, HTTPStatus status) override
    {
        setStatusAndReason(status);
        set("Location", uri);
        sendHead(0);
    }
    void requireAuthentication(const std::string &) override
    {
        throw Poco::NotImplementedException("requireAuthentication");
    }
    bool sent() const override { return m_exchange.isHeadSent(); }

private:
    void sendHead(std::optional<std::uint64_t> length)
    {
        http_fields fields;
        for (const auto &[name, value] : *this)
            if (!equalsIgnoreCase(name, CONTENT_LENGTH) && !equalsIgnoreCase(name, CONNECTION)
                && !equalsIgnoreCase(name, TRANSFER_ENCODING))
                fields.emplace_back(name, value);
        if (has(CONNECTION) && !getKeepAlive())
            m_exchange.setClosing();
        m_exchange.sendHead(getStatus(), getReason(), fields, length);
    }

    http_exchange &m_exchange;
    std::ostream m_stream;
};

class exchange_request final : public Poco::Net::HTTPServerRequest
{
public:
    exchange_request(http_exchange &exchange, exchange_buffer &buffer,
                     Poco::Net::HTTPServerResponse &response)
        : m_response(response)
        , m_client(exchange.clientAddress(), 0)
        , m_params(new Poco::Net::HTTPServerParams)
        , m_stream(&buffer)
    {
        m_stream.exceptions(std::ios::badbit);
        setMethod(exchange.head().method);
        setURI(exchange.head().target);
        setVersion(exchange.head().isHttp11 ? HTTP_1_1 : HTTP_1_0);
        for (const auto &[name, value] : exchange.head().fields)
            add(name, value);
    }

    std::istream &stream() override { return m_stream; }
    const Poco::Net::SocketAddress &clientAddress() const override { return m_client; }
    const Poco::Net::SocketAddress &serverAddress() const override { return m_server; }
    const Poco::Net::HTTPServerParams &serverParams() const override { return *m_params; }
    Poco::Net::HTTPServerResponse &response() const override { return m_response; }
    bool secure() const override { return false; }

private:
    Poco::Net::HTTPServerResponse &m_response;
    Poco::Net::SocketAddress m_client;
    Poco::Net::SocketAddress m_server;
    Poco::Net::HTTPServerParams::Ptr m_params;
    std::istream m_stream;
};

} // namespace

void poco_exchange_adapter::handle(http_exchange &exchange)
{
    exchange_buffer buffer(exchange);
    exchange_response response(exchange, buffer);
    exchange_request request(exchange, buffer, response);
    m_handler.handle(request, response);
    if (exchange.isHeadSent() && !exchange.isAborted()) {
        response.stream().flush();
        exchange.finish();
    }
}

} // namespace buckthorngrade
