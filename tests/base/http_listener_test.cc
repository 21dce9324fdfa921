#include "base/http_body.h"
#include "base/http_listener.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/wait.h"

#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <iterator>
#include <vector>

using namespace buckthorngrade;

namespace {

// Responds with the length of the request body.
class counting_handler final : public exchange_handler
{
public:
    void handle(http_exchange &exchange) override
    {
        ++requests;
        std::vector<char> buffer(64UL * 1024);
        std::size_t total = 0;
        while (const std::size_t count = exchange.readBody(buffer.data(), buffer.size()))
            total += count;
        exchange.reply(200, {}, fmt::format("{}", total));
    }
    std::atomic<int> requests = 0;
};

class poco_handler final : public http_handler
{
public:
    void handle(Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response) override
    {
        std::string body(std::istreambuf_iterator<char>(request.stream()), {});
        response.set("Seen-Host", request.getHost());
        sendBody(response, 200, "text/plain", request.getMethod() + request.getURI() + body);
    }
};

// Sends raw bytes and returns everything received until the connection ends or 30 s pass without
// data.
std::string sendRaw(const std::string &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(30, 0));
    std::string answer;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 4096> part{};
        while (const int count = socket.receiveBytes(part.data(), part.size()))
            answer.append(part.data(), static_cast<std::size_t>(count));
    } catch (const Poco::Exception &) { // a reset also ends the response
    }
    return answer;
}

} // namespace

class http_listener_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_listener_test);
    CPPUNIT_TEST(rejectsHeadsThatCanBeFramedDifferently);
    CPPUNIT_TEST(rejectsMalformedChunks);
    CPPUNIT_TEST(rejectsTooLargeHeads);
    CPPUNIT_TEST(acceptsOrdinaryRequests);
    CPPUNIT_TEST(doesNotParseUnreadBodyAsRequest);
    CPPUNIT_TEST(servesPocoHandlers);
    CPPUNIT_TEST(boundsIdleAndSlowClients);
    CPPUNIT_TEST(answers503BeyondItsConnections);
    CPPUNIT_TEST(stopLetsActiveRequestsFinish);
    CPPUNIT_TEST(parsesResponseHeads);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_requestStart = "POST / HTTP/1.1\r\nHost: a\r\n";

    void expectRejected(const std::string &bytes, const std::string &status)
    {
        counting_handler handler;
        const http_listener listener("127.0.0.1:0", handler, {});
        // Checks that a second request is not read after the rejected one.
        const std::string answer
            = sendRaw(listener.address(), bytes + "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(bytes + " -> " + answer, answer.starts_with("HTTP/1.1 " + status));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string::npos, answer.find("HTTP/1.1", 1));
        CPPUNIT_ASSERT_MESSAGE(bytes, answer.find("Connection: close") != std::string::npos);
        const std::string sound
            = sendRaw(listener.address(),
                      m_requestStart + "Connection: close\r\nContent-Length: 5\r\n\r\nhello");
        CPPUNIT_ASSERT_MESSAGE(bytes + " then " + sound, sound.starts_with("HTTP/1.1 200"));
    }

public:
    // Guards against request smuggling: if a proxy and an upstream disagree about where a request
    // ends, one caller gets the response to another caller's request.
    void rejectsHeadsThatCanBeFramedDifferently()
    {
        const std::vector<std::string> heads = {
            m_requestStart + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            m_requestStart + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
            m_requestStart + "Content-Length: 1, 1\r\n\r\na",
            m_requestStart + "Content-Length: +1\r\n\r\na",
            m_requestStart + "Content-Length: -1\r\n\r\na",
            m_requestStart + "Content-Length: 0x1\r\n\r\na",
            m_requestStart + "Content-Length: 1 1\r\n\r\na",
            m_requestStart + "Content-Length:\r\n\r\na",
            m_requestStart + "Content-Length: 99999999999999999999\r\n\r\na",
            m_requestStart + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            m_requestStart + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
            m_requestStart
                + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            m_requestStart + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            m_requestStart + "Content-Length : 1\r\n\r\na",
            m_requestStart + "A: b\r\n folded\r\n\r\n",
            m_requestStart + "A: b\r\n\tfolded\r\n\r\n",
            m_requestStart + "A: b\nB: c\r\n\r\n",
            m_requestStart + "A: b\rB: c\r\n\r\n",
            m_requestStart + std::string("A: b\0c\r\n\r\n", 10),
            m_requestStart + "A: b\x01\r\n\r\n",
            m_requestStart + "A: b\x7f\r\n\r\n",
            m_requestStart + "A\x0b: b\r\n\r\n",
            m_requestStart + ": b\r\n\r\n",
            m_requestStart + "no colon\r\n\r\n",
            m_requestStart + "Host: b\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\nHost: a\n\n",
            "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET / a HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /\r\nHost: a\r\n\r\n",
            "G{T / HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n",
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        };
        for (const std::string &head : heads)
            expectRejected(head, "400");
        expectRejected(m_requestStart + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501");
        expectRejected(m_requestStart + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501");
        expectRejected("GET / HTTP/2.0\r\nHost: a\r\n\r\n", "505");
    }

    void rejectsMalformedChunks()
    {
        const std::string head = m_requestStart + "Transfer-Encoding: chunked\r\n\r\n";
        for (const char *body :
             {"g\r\na\r\n0\r\n\r\n", "\r\na\r\n0\r\n\r\n", "-1\r\na\r\n0\r\n\r\n",
              "0x1\r\na\r\n0\r\n\r\n", " 1\r\na\r\n0\r\n\r\n", "1 \r\na\r\n0\r\n\r\n",
              "1\na\r\n0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n", "1\r\na0\r\n\r\n",
              "ffffffffffffffff1\r\na\r\n0\r\n\r\n", "0\r\nbad trailer\r\n\r\n", "0\r\nA: b\n\r\n",
              "1;\x01\r\na\r\n0\r\n\r\n"})
            expectRejected(head + body, "400");
    }

    void rejectsTooLargeHeads()
    {
        expectRejected(m_requestStart + "A: " + std::string(maxHeadBytes, 'x') + "\r\n\r\n", "431");
        std::string many = m_requestStart;
        for (std::size_t i = 0; i < maxHeadFields; ++i)
            many += "A: b\r\n";
        expectRejected(many + "\r\n", "431");
    }

    void acceptsOrdinaryRequests()
    {
        counting_handler handler;
        const http_listener listener("127.0.0.1:0", handler, {});
        const std::string last = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        const std::string answer = sendRaw(
            listener.address(),
            m_requestStart
                + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n"
                + m_requestStart + "Content-Length: 4\r\n\r\nwxyz" + last);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, 3, handler.requests.load());
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\r\n\r\n5HTTP/1.1 200") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\r\n\r\n4HTTP/1.1 200") != std::string::npos);
        std::size_t dates = 0;
        for (auto at = answer.find("Date:"); at != std::string::npos;
             at = answer.find("Date:", at + 1))
            ++dates;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), dates);
    }

    // Guards against parsing an unread body as the next request.
    void doesNotParseUnreadBodyAsRequest()
    {
        class refusing_handler final : public exchange_handler
        {
        public:
            void handle(http_exchange &exchange) override
            {
                ++requests;
                exchange.reply(503, {}, "no");
            }
            std::atomic<int> requests = 0;
        } handler;
        const http_listener listener("127.0.0.1:0", handler, {});
        const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
        sendRaw(listener.address(),
                m_requestStart + fmt::format("Content-Length: {}\r\n\r\n{}", inner.size(), inner));
        CPPUNIT_ASSERT_EQUAL(1, handler.requests.load());
    }

    void servesPocoHandlers()
    {
        poco_handler handler;
        const http_listener listener("127.0.0.1:0", handler, {});
        const http_response response
            = exchange(listener.address(), {.method = "PUT", .path = "/a?b=c", .body = "text"});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT/a?b=ctext"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("test"), response.header("seen-host"));
        const std::string answer = sendRaw(
            listener.address(), m_requestStart + "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400"));
    }

    // Guards against clients that occupy threads by sending nothing or an incomplete head.
    void boundsIdleAndSlowClients()
    {
        counting_handler handler;
        const http_listener listener("127.0.0.1:0", handler,
                                     {.maxConnections = 8,
                                      .idleTimeout = std::chrono::minutes(10),
                                      .readTimeout = std::chrono::minutes(10)});
        std::vector<Poco::Net::StreamSocket> idle;
        for (int i = 0; i < 8; ++i) {
            idle.emplace_back(Poco::Net::SocketAddress(listener.address()));
            if (i % 2 == 0)
                idle.back().sendBytes("GET / HT", 8);
        }
        waitUntil("a new client is served",
                  [&] { return exchange(listener.address(), {}).status == 200; });
    }

    void answers503BeyondItsConnections()
    {
        counting_handler handler;
        const http_listener listener("127.0.0.1:0", handler, {.maxConnections = 2});
        std::vector<Poco::Net::StreamSocket> held;
        held.reserve(2);
        for (int i = 0; i < 2; ++i)
            held.emplace_back(Poco::Net::SocketAddress(listener.address()));
        waitUntil("both connections are accepted", [&] { return listener.openConnections() == 2; });
        const http_response response = exchange(listener.address(), {});
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), response.header("buckthorn-outcome"));
    }

    void stopLetsActiveRequestsFinish()
    {
        counting_handler handler;
        http_listener listener("127.0.0.1:0", handler, {});
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(listener.address())};
        http_connection connection(socket);
        connection.send(m_requestStart + "Content-Length: 4\r\n\r\nab");
        waitUntil("the request is active", [&] { return listener.activeRequests() == 1; });
        listener.stopAccepting();
        CPPUNIT_ASSERT_EQUAL(0, exchange(listener.address(), {}).status);
        connection.send("cd");
        Poco::Net::HTTPResponse response;
        CPPUNIT_ASSERT(connection.readHead(response));
        CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
        waitUntil("all connections are closed", [&] { return listener.openConnections() == 0; });
    }

    void parsesResponseHeads()
    {
        const auto parse = [](const std::string &text, bool toHead = false) {
            return parseResponseHead(text + "\r\n\r\n", toHead);
        };
        CPPUNIT_ASSERT(parse("HTTP/1.1 200 OK").framing == body_framing::until_close);
        CPPUNIT_ASSERT(!parse("HTTP/1.1 200 OK").keepAlive);
        CPPUNIT_ASSERT(parse("HTTP/1.1 204 No").framing == body_framing::none);
        CPPUNIT_ASSERT(parse("HTTP/1.1 200\r\nContent-Length: 3", true).framing
                       == body_framing::none);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                             parse("HTTP/1.1 200 OK\r\nContent-Length: 3").contentLength);
        for (const char *text :
             {"HTTP/1.1 20 OK", "HTTP/1.1 2000", "HTTP/3 200 OK", "200 OK",
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3",
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"})
            CPPUNIT_ASSERT_THROW_MESSAGE(std::string(text), parse(text), http_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_listener_test);
