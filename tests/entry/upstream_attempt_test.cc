#include "base/http_listener.h"
#include "entry/upstream_attempt.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/malformed_heads.h"
#include "testing/raw_server.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// An upstream that passes its connections, one at a time, to a handler of the test.
class raw_upstream
{
public:
    explicit raw_upstream(std::function<void(http_connection &)> serve)
        : m_server([serve = std::move(serve)](Poco::Net::StreamSocket &socket) {
            http_connection connection(socket);
            serve(connection);
        })
    { }
    upstream_spec spec() const { return {"u", m_server.address(), "d", 4, 100, ""}; }
    int connections() const { return m_server.connections(); }
    void limitBuffers() { m_server.limitBuffers(); }

private:
    raw_server m_server;
};

struct attempt_result
{
    std::optional<failure_point> failure;
    bool mayHaveSent = false;
    std::string body;
    bool isTruncated = false;
};

} // namespace

// The point of failure decides whether the caller may be told that its request was not run.
class upstream_attempt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_attempt_test);
    CPPUNIT_TEST(refusedConnectionSentNothing);
    CPPUNIT_TEST(passedDeadlineSendsNothing);
    CPPUNIT_TEST(timeoutAfterSendingMayHaveRun);
    CPPUNIT_TEST(closeAfterSendingMayHaveRun);
    CPPUNIT_TEST(requestIsNotResentAutomatically);
    CPPUNIT_TEST(closedIdleConnectionIsNotUsed);
    CPPUNIT_TEST(connectionWithUnsolicitedBytesIsNotReused);
    CPPUNIT_TEST(truncatedBodyIsDetected);
    CPPUNIT_TEST(earlyResponseToALongUploadIsReceived);
    CPPUNIT_TEST(responseResetDuringUploadIsTruncated);
    CPPUNIT_TEST(malformedHeadIsNoResponse);
    CPPUNIT_TEST_SUITE_END();

    upstream_pool m_pool;
    const system_clock_source m_clock;
    settings m_settings;

    // Sends one request through an attempt, within an HTTP server as in production.
    attempt_result runAttempt(const upstream_spec &upstream, std::chrono::milliseconds deadline,
                              const std::string &body = "body")
    {
        class attempt_handler final : public exchange_handler
        {
        public:
            explicit attempt_handler(std::function<void(http_exchange &)> run)
                : m_run(std::move(run))
            { }
            void handle(http_exchange &exchange) override { m_run(exchange); }

        private:
            std::function<void(http_exchange &)> m_run;
        };
        link_rate_limiter linkLimiter(m_settings, m_clock);
        attempt_result result;
        attempt_handler handler([&](http_exchange &exchange) {
            const steady_time end = std::chrono::steady_clock::now() + deadline;
            request_body content(exchange);
            content.readFirstPart(std::chrono::steady_clock::now() + 30s);
            upstream_attempt attempt(m_pool, linkLimiter, upstream, "");
            upstream_attempt::request request{"POST", "/x", {}, body.size(), true};
            result.failure = attempt.run(request, content, end, -1);
            result.mayHaveSent = attempt.mayHaveSent();
            try {
                std::array<char, 1024> part{};
                while (!result.failure)
                    if (const auto count = attempt.readBody(part.data(), part.size(), end))
                        result.body.append(part.data(), count);
                    else
                        break;
            } catch (const error &) {
                result.isTruncated = true;
            }
            attempt.finish();
            exchange.reply(200, {}, "");
        });
        const http_listener listener("127.0.0.1:0", handler, {});
        exchange(listener.address(), {.method = "POST", .path = "/x", .body = body});
        return result;
    }

    static void respondOnce(http_connection &connection, const std::string &extra = {})
    {
        Poco::Net::HTTPRequest request;
        if (connection.readHead(request) && connection.readBody(request, [](std::string_view) {}))
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + extra);
    }

public:
    void refusedConnectionSentNothing()
    {
        upstream_spec gone;
        {
            const raw_upstream upstream([](http_connection &) {});
            gone = upstream.spec();
        }
        const attempt_result result = runAttempt(gone, 5s);
        CPPUNIT_ASSERT(result.failure == failure_point::connect_failed);
        CPPUNIT_ASSERT(!result.mayHaveSent);
    }

    void passedDeadlineSendsNothing()
    {
        const raw_upstream upstream([](http_connection &connection) { respondOnce(connection); });
        const attempt_result result = runAttempt(upstream.spec(), 0ms);
        CPPUNIT_ASSERT(result.failure == failure_point::deadline_unsent);
        CPPUNIT_ASSERT(!result.mayHaveSent);
        CPPUNIT_ASSERT_EQUAL(0, upstream.connections());
    }

    void timeoutAfterSendingMayHaveRun()
    {
        const raw_upstream upstream(
            [](http_connection &connection) { connection.waitPeerLeft(30s); });
        const attempt_result result = runAttempt(upstream.spec(), 200ms);
        CPPUNIT_ASSERT(result.failure == failure_point::deadline_sent);
        CPPUNIT_ASSERT(result.mayHaveSent);
    }

    void closeAfterSendingMayHaveRun()
    {
        const raw_upstream upstream([](http_connection &connection) {
            connection.waitReadable(30s);
            connection.reset();
        });
        const attempt_result result = runAttempt(upstream.spec(), 30s);
        CPPUNIT_ASSERT(result.failure == failure_point::sent_no_head);
        CPPUNIT_ASSERT(result.mayHaveSent);
    }

    // Guards against an HTTP client library that reconnects and resends a request by itself.
    void requestIsNotResentAutomatically()
    {
        std::atomic<int> heads = 0;
        const raw_upstream upstream([&](http_connection &connection) {
            Poco::Net::HTTPRequest request;
            if (!connection.readHead(request))
                return;
            if (++heads == 1) {
                connection.readBody(request, [](std::string_view) {});
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                // The next request on the reused connection is read and then dropped.
                if (connection.readHead(request))
                    ++heads;
            }
            connection.reset();
        });
        CPPUNIT_ASSERT(!runAttempt(upstream.spec(), 30s).failure);
        const attempt_result second = runAttempt(upstream.spec(), 30s);
        CPPUNIT_ASSERT(second.failure == failure_point::sent_no_head);
        CPPUNIT_ASSERT_EQUAL(2, heads.load());
        CPPUNIT_ASSERT_EQUAL(1, upstream.connections());
    }

    void closedIdleConnectionIsNotUsed()
    {
        std::atomic<bool> isClosed = false;
        const raw_upstream upstream([&](http_connection &connection) {
            respondOnce(connection);
            connection.closeCleanly();
            isClosed = true;
        });
        for (int i = 0; i < 3; ++i) {
            isClosed = false;
            const attempt_result result = runAttempt(upstream.spec(), 30s);
            CPPUNIT_ASSERT(!result.failure);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.body);
        }
    }

    // Guards against one caller receiving the response to another caller's request.
    void connectionWithUnsolicitedBytesIsNotReused()
    {
        const raw_upstream upstream([](http_connection &connection) {
            respondOnce(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
            connection.waitPeerLeft(30s);
        });
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), runAttempt(upstream.spec(), 30s).body);
        CPPUNIT_ASSERT_EQUAL(3, upstream.connections());
    }

    void truncatedBodyIsDetected()
    {
        const raw_upstream upstream([](http_connection &connection) {
            Poco::Net::HTTPRequest request;
            connection.readHead(request);
            connection.readBody(request, [](std::string_view) {});
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
            connection.closeCleanly();
        });
        const attempt_result result = runAttempt(upstream.spec(), 30s);
        CPPUNIT_ASSERT(!result.failure);
        CPPUNIT_ASSERT(result.isTruncated);
    }

    void earlyResponseToALongUploadIsReceived()
    {
        const raw_upstream upstream([](http_connection &connection) {
            Poco::Net::HTTPRequest request;
            connection.readHead(request);
            connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
            connection.closeCleanly();
        });
        const attempt_result result
            = runAttempt(upstream.spec(), 30s, std::string(32UL << 20U, 'x'));
        CPPUNIT_ASSERT(!result.failure);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), result.body);
    }

    // Guards against taking the part of a response without a length that arrived before a reset for
    // the whole response. The upload does not fit into the buffers, so the reset is reported to a
    // write.
    void responseResetDuringUploadIsTruncated()
    {
        raw_upstream upstream([](http_connection &connection) {
            connection.waitReadable(30s);
            connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
            connection.reset();
        });
        upstream.limitBuffers();
        const attempt_result result = runAttempt(
            upstream.spec(), 30s, std::string(2 * request_body::maxBufferedBytes, 'x'));
        CPPUNIT_ASSERT(!result.failure);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), result.body);
        CPPUNIT_ASSERT(result.isTruncated);
    }

    // Guards against passing on a response whose head is malformed, or a body that begins or ends
    // at the wrong byte because of it.
    void malformedHeadIsNoResponse()
    {
        const auto failureOf = [this](const std::string &head) {
            const raw_upstream upstream([&](http_connection &connection) {
                Poco::Net::HTTPRequest request;
                if (!connection.readHead(request)
                    || !connection.readBody(request, [](std::string_view) {}))
                    return;
                connection.send(head);
                connection.closeCleanly();
            });
            return runAttempt(upstream.spec(), 30s).failure;
        };
        CPPUNIT_ASSERT(!failureOf("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"));
        for (const std::string &code : malformedStatusCodes())
            CPPUNIT_ASSERT_MESSAGE(
                printable(code),
                failureOf(fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nok", code))
                    == failure_point::sent_no_head);
        for (const std::string &line : malformedFieldLines())
            CPPUNIT_ASSERT_MESSAGE(
                printable(line),
                failureOf(fmt::format("HTTP/1.1 200 X\r\n{}\r\nContent-Length: 2\r\n\r\nok", line))
                    == failure_point::sent_no_head);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_attempt_test);
