#include "cli/http_call.h"
#include "testing/http_connection.h"
#include "testing/malformed_heads.h"
#include "testing/raw_server.h"

#include <Poco/Net/HTTPRequest.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

enum class answer_end { close, reset };

// Sends one request to a server that answers `bytes` and then ends the connection.
http_reply callServer(const std::string &bytes, answer_end end = answer_end::close,
                      const std::string &method = "GET")
{
    raw_server server([&](Poco::Net::StreamSocket &socket) {
        http_connection connection(socket);
        Poco::Net::HTTPRequest request;
        if (!connection.readHead(request) || !connection.readBody(request, [](std::string_view) {}))
            return;
        connection.send(bytes);
        if (end == answer_end::reset)
            connection.reset();
        else
            connection.closeCleanly();
    });
    return callHttp(server.address(), method, "/v1/status", {}, method == "PUT" ? "body" : "", 10s);
}

} // namespace

// Guards against commands that print or act on an answer that did not arrive whole.
class http_call_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_call_test);
    CPPUNIT_TEST(readsEveryFraming);
    CPPUNIT_TEST(skipsInterimResponses);
    CPPUNIT_TEST(incompleteBodyIsNoReply);
    CPPUNIT_TEST(malformedHeadIsNoReply);
    CPPUNIT_TEST(endlessInterimResponsesAreNoReply);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEveryFraming()
    {
        for (const std::string &bytes :
             {std::string("HTTP/1.1 200 OK\r\nLeader: a:1\r\nContent-Length: 5\r\n\r\nwhole"),
              std::string("HTTP/1.1 200 OK\r\nLeader: a:1\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
              std::string("HTTP/1.1 200 OK\r\nLeader: a:1\r\n\r\nwhole")}) {
            const http_reply reply = callServer(bytes);
            CPPUNIT_ASSERT_EQUAL(200, reply.head.status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), reply.body);
            CPPUNIT_ASSERT_EQUAL(std::string("a:1"), reply.head.get("leader"));
        }
    }

    void skipsInterimResponses()
    {
        const http_reply reply = callServer("HTTP/1.1 100 Continue\r\n\r\n"
                                            "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
                                            answer_end::close, "PUT");
        CPPUNIT_ASSERT_EQUAL(409, reply.head.status);
    }

    void incompleteBodyIsNoReply()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        CPPUNIT_ASSERT_THROW(callServer(head + "Content-Length: 5\r\n\r\npart"), http_call_error);
        CPPUNIT_ASSERT_THROW(callServer(head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
                             http_call_error);
        CPPUNIT_ASSERT_THROW(callServer(head + "Transfer-Encoding: chunked\r\n\r\n8\r\npart"),
                             http_call_error);
        CPPUNIT_ASSERT_THROW(
            callServer(head + "Transfer-Encoding: chunked\r\n\r\nxx\r\npart\r\n0\r\n\r\n"),
            http_call_error);
        CPPUNIT_ASSERT_THROW(callServer(head + "\r\npart", answer_end::reset), http_call_error);
        CPPUNIT_ASSERT_THROW(callServer(head), http_call_error);
    }

    void malformedHeadIsNoReply()
    {
        for (const std::string &code : malformedStatusCodes())
            CPPUNIT_ASSERT_THROW_MESSAGE(
                printable(code),
                callServer(fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nok", code)),
                http_call_error);
        for (const std::string &line : malformedFieldLines())
            CPPUNIT_ASSERT_THROW_MESSAGE(
                printable(line),
                callServer(
                    fmt::format("HTTP/1.1 200 X\r\n{}\r\nContent-Length: 2\r\n\r\nok", line)),
                http_call_error);
    }

    void endlessInterimResponsesAreNoReply()
    {
        std::string bytes;
        for (int i = 0; i < 1'000; ++i)
            bytes += "HTTP/1.1 102 Processing\r\n\r\n";
        bytes += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        CPPUNIT_ASSERT_THROW(callServer(bytes), http_call_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_call_test);
