#include "base/http_listener.h"
#include "entry/upstream_try.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/wait.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// An upstream that passes its connections, one at a time, to a handler of the test.
class raw_upstream
{
public:
    explicit raw_upstream(std::function<void(http_connection &)> serve)
        : m_listener(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this, serve = std::move(serve)] {
            while (!m_isStopping) {
                if (!m_listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                    continue;
                ++connections;
                try {
                    http_connection connection(m_listener.acceptConnection());
                    serve(connection);
                } catch (const Poco::Exception &) { // the peer closed the connection
                }
            }
        })
    { }
    ~raw_upstream()
    {
        m_isStopping = true;
        m_thread.join();
    }
    upstream_spec spec() const { return {"u", m_listener.address().toString(), "d", 4, 100, ""}; }
    std::atomic<int> connections = 0;

private:
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

struct try_result
{
    std::optional<failure_point> failure;
    bool mayHaveSent = false;
    std::string body;
    bool isTruncated = false;
};

} // namespace

// The point of failure decides whether the caller may be told that its request was not run.
class upstream_try_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_try_test);
    CPPUNIT_TEST(refusedConnectionSentNothing);
    CPPUNIT_TEST(passedDeadlineSendsNothing);
    CPPUNIT_TEST(silenceAfterSendingMayHaveRun);
    CPPUNIT_TEST(closeAfterSendingMayHaveRun);
    CPPUNIT_TEST(neverSendsTwiceOnItsOwn);
    CPPUNIT_TEST(closedIdleConnectionIsNotUsed);
    CPPUNIT_TEST(connectionWithUnaskedBytesIsNotUsedAgain);
    CPPUNIT_TEST(truncatedBodyIsNoticed);
    CPPUNIT_TEST(earlyAnswerToALongUploadArrives);
    CPPUNIT_TEST_SUITE_END();

    upstream_pool m_pool;
    const system_clock_source m_clock;
    settings m_settings;

    // Sends one request through an attempt, within an HTTP server as in production.
    try_result runTry(const upstream_spec &upstream, std::chrono::milliseconds deadline,
                      const std::string &body = "body")
    {
        class try_handler final : public exchange_handler
        {
        public:
            explicit try_handler(std::function<void(http_exchange &)> run)
                : m_run(std::move(run))
            { }
            void handle(http_exchange &exchange) override { m_run(exchange); }

        private:
            std::function<void(http_exchange &)> m_run;
        };
        link_meter links(m_settings, m_clock);
        try_result result;
        try_handler handler([&](http_exchange &exchange) {
            const steady_time end = std::chrono::steady_clock::now() + deadline;
            request_body content(exchange);
            content.readFirstPart(std::chrono::steady_clock::now() + 30s);
            upstream_try attempt(m_pool, links, upstream, "");
            upstream_try::request request{"POST", "/x", {}, body.size(), true};
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

    static void answerOnce(http_connection &connection, const std::string &extra = {})
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
        const try_result result = runTry(gone, 5s);
        CPPUNIT_ASSERT(result.failure == failure_point::connect_failed);
        CPPUNIT_ASSERT(!result.mayHaveSent);
    }

    void passedDeadlineSendsNothing()
    {
        const raw_upstream upstream([](http_connection &connection) { answerOnce(connection); });
        const try_result result = runTry(upstream.spec(), 0ms);
        CPPUNIT_ASSERT(result.failure == failure_point::deadline_unsent);
        CPPUNIT_ASSERT(!result.mayHaveSent);
        CPPUNIT_ASSERT_EQUAL(0, upstream.connections.load());
    }

    void silenceAfterSendingMayHaveRun()
    {
        const raw_upstream upstream(
            [](http_connection &connection) { connection.waitPeerLeft(30s); });
        const try_result result = runTry(upstream.spec(), 200ms);
        CPPUNIT_ASSERT(result.failure == failure_point::deadline_sent);
        CPPUNIT_ASSERT(result.mayHaveSent);
    }

    void closeAfterSendingMayHaveRun()
    {
        const raw_upstream upstream([](http_connection &connection) {
            connection.waitReadable(30s);
            connection.reset();
        });
        const try_result result = runTry(upstream.spec(), 30s);
        CPPUNIT_ASSERT(result.failure == failure_point::sent_no_head);
        CPPUNIT_ASSERT(result.mayHaveSent);
    }

    // Guards against an HTTP client library that reconnects and resends a request by itself.
    void neverSendsTwiceOnItsOwn()
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
        CPPUNIT_ASSERT(!runTry(upstream.spec(), 30s).failure);
        const try_result second = runTry(upstream.spec(), 30s);
        CPPUNIT_ASSERT(second.failure == failure_point::sent_no_head);
        CPPUNIT_ASSERT_EQUAL(2, heads.load());
        CPPUNIT_ASSERT_EQUAL(1, upstream.connections.load());
    }

    void closedIdleConnectionIsNotUsed()
    {
        std::atomic<bool> isClosed = false;
        const raw_upstream upstream([&](http_connection &connection) {
            answerOnce(connection);
            connection.closeCleanly();
            isClosed = true;
        });
        for (int i = 0; i < 3; ++i) {
            isClosed = false;
            const try_result result = runTry(upstream.spec(), 30s);
            CPPUNIT_ASSERT(!result.failure);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.body);
        }
    }

    // Guards against one caller receiving the response to another caller's request.
    void connectionWithUnaskedBytesIsNotUsedAgain()
    {
        const raw_upstream upstream([](http_connection &connection) {
            answerOnce(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
            connection.waitPeerLeft(30s);
        });
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), runTry(upstream.spec(), 30s).body);
        CPPUNIT_ASSERT_EQUAL(3, upstream.connections.load());
    }

    void truncatedBodyIsNoticed()
    {
        const raw_upstream upstream([](http_connection &connection) {
            Poco::Net::HTTPRequest request;
            connection.readHead(request);
            connection.readBody(request, [](std::string_view) {});
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
            connection.closeCleanly();
        });
        const try_result result = runTry(upstream.spec(), 30s);
        CPPUNIT_ASSERT(!result.failure);
        CPPUNIT_ASSERT(result.isTruncated);
    }

    void earlyAnswerToALongUploadArrives()
    {
        const raw_upstream upstream([](http_connection &connection) {
            Poco::Net::HTTPRequest request;
            connection.readHead(request);
            connection.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
            connection.closeCleanly();
        });
        const try_result result = runTry(upstream.spec(), 30s, std::string(32UL << 20U, 'x'));
        CPPUNIT_ASSERT(!result.failure);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), result.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_try_test);
