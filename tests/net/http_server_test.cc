#include "net/http_server.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/scripted_server.h"
#include "testing/wait.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

std::string request(const std::string &path, const std::string &more = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

// Holds the exchanges whose path begins with "/hold", responds to "/large" with a large body, and
// to the others with their path and body.
class holding_server
{
public:
    explicit holding_server(const http_server_options &options = {})
        : m_server(m_thread.loop(), {"127.0.0.1", 0}, options,
                   [this](const exchange_pointer &exchange) {
                       if (exchange->head.target.starts_with("/hold")) {
                           exchange->onCallerGone = [this] { ++disconnects; };
                           heldExchanges.push_back(exchange);
                           ++heldCount;
                       } else if (exchange->head.target.starts_with("/large")) {
                           ++largeCount;
                           exchange->respond(200, {}, largeBody());
                       } else {
                           exchange->respond(200, {}, exchange->head.target + exchange->body());
                       }
                   })
    {
        m_thread.start();
    }
    ~holding_server() { m_thread.stop(); }
    holding_server(const holding_server &) = delete;
    holding_server &operator=(const holding_server &) = delete;

    Poco::Net::StreamSocket connect()
    {
        return Poco::Net::StreamSocket(Poco::Net::SocketAddress(m_server.address().toString()));
    }
    std::string address() const { return m_server.address().toString(); }
    loop_thread &thread() { return m_thread; }
    http_server &server() { return m_server; }
    // More than the kernel's buffers of a loopback connection hold, some 6 MB.
    static const std::string &largeBody()
    {
        static const std::string body(16U << 20, 'x');
        return body;
    }
    std::uint64_t unsentBytes()
    {
        std::uint64_t result = 0;
        m_thread.call([&] { result = m_server.unsentBytes(); });
        return result;
    }
    bool owesResponses()
    {
        bool result = false;
        m_thread.call([&] { result = m_server.owesResponses(); });
        return result;
    }
    std::size_t openConnections()
    {
        std::size_t result = 0;
        m_thread.call([&] { result = m_server.openConnections(); });
        return result;
    }

    std::atomic<int> largeCount = 0;
    std::deque<exchange_pointer> heldExchanges; // accessed only on the loop's thread
    std::atomic<int> heldCount = 0;
    std::atomic<int> disconnects = 0;

private:
    loop_thread m_thread;
    http_server m_server;
};

std::string readBody(http_connection &connection)
{
    Poco::Net::HTTPResponse head;
    CPPUNIT_ASSERT(connection.readHead(head));
    std::string body;
    CPPUNIT_ASSERT(connection.readBody(head, [&](std::string_view part) { body += part; }));
    return body;
}

void waitFor(std::chrono::milliseconds time)
{
    const auto start = std::chrono::steady_clock::now();
    waitUntil("the time has passed",
              [&] { return std::chrono::steady_clock::now() - start >= time; });
}

// Checks that a caller's request with a body is served.
void expectBodyIsServed(holding_server &server, const std::string &context)
{
    http_connection connection(server.connect());
    connection.send(request("/sound", "Content-Length: 5\r\n") + "hello");
    Poco::Net::HTTPResponse head;
    CPPUNIT_ASSERT_MESSAGE(context, connection.readHead(head));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200, static_cast<int>(head.getStatus()));
    std::string body;
    connection.readBody(head, [&](std::string_view part) { body += part; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string("/soundhello"), body);
}

// What a request's body ends with after its first 2,000 bytes.
struct early_end
{
    std::string name;
    std::string head; // fields that announce the body
    std::string begin; // framing and the first 2,000 bytes
    std::string rest; // sent in one write
    std::uint64_t maxBodyBytes = 20'000; // in force when the rest arrives
    bool isReset = false; // by the caller, after the rest
};

std::vector<early_end> earlyEnds()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string begin = "7d0\r\n" + std::string(2'000, 'x') + "\r\n";
    const std::string chunk = "1388\r\n" + std::string(5'000, 'y');
    const std::string lengthBegin(2'000, 'x');
    const std::string part(5'000, 'y');
    std::string trailers;
    while (trailers.size() < 2 * maxHeadBytes)
        trailers += "Name: " + std::string(1'000, 'v') + "\r\n";
    return {{"malformed chunk size", chunked, begin, chunk + "\r\nno chunk\r\n"},
            {"malformed end of a chunk", chunked, begin, chunk + "no end\r\n"},
            {"chunk line too long", chunked, begin, chunk + "\r\n" + std::string(1'000, '1')},
            {"trailers too long", chunked, begin, chunk + "\r\n0\r\n" + trailers},
            {"chunked body too large", chunked, begin, "7530\r\n" + std::string(30'000, 'y')},
            {"limit lowered below a chunked body", chunked, begin, chunk, 1'000},
            {"limit lowered below a body", "Content-Length: 9000\r\n", lengthBegin, part, 1'000},
            {"chunked body cut", chunked, begin, chunk, 20'000, true},
            {"body cut", "Content-Length: 9000\r\n", lengthBegin, part, 20'000, true}};
}

// How far a request has got when its body ends early.
enum class request_progress {
    not_dispatched,
    unanswered,
    answered,
    answer_queued, // behind the answer to an earlier request
};

} // namespace

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(handlesPipelinedRequestsConcurrentlyAndRespondsInOrder);
    CPPUNIT_TEST(detectsCallerDisconnect);
    CPPUNIT_TEST(rejectsMalformedAndTooLargeRequests);
    CPPUNIT_TEST(stopSendsPendingResponsesBeforeClosing);
    CPPUNIT_TEST(stopAnswersRequestsThatWereRead);
    CPPUNIT_TEST(boundsBufferedBodies);
    CPPUNIT_TEST(abortClosesConnectionWithoutResponse);
    CPPUNIT_TEST(dispatchesLongBodyBeforeItIsComplete);
    CPPUNIT_TEST(parsesNextRequestAfterEarlyResponse);
    CPPUNIT_TEST(incompleteOrMalformedBodyEndsItsRequest);
    CPPUNIT_TEST(limitsRateOfStreamedBodies);
    CPPUNIT_TEST(bodyThatEndsEarlyLeavesRoomForOthers);
    CPPUNIT_TEST(connectionIsNotIdleWhileResponsesAreSent);
    CPPUNIT_TEST(incompleteRequestDoesNotCutOffEarlierResponses);
    CPPUNIT_TEST(rejectionDoesNotCutOffEarlierResponses);
    CPPUNIT_TEST(idleTimeBeginsWhenResponseIsDelivered);
    CPPUNIT_TEST(callerThatTakesNothingIsDisconnected);
    CPPUNIT_TEST(unsentResponsesAreBounded);
    CPPUNIT_TEST(headThatWaitsForResponsesIsNotTimedOut);
    CPPUNIT_TEST(readingResumesWhenOthersTakeTheirResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Responses sent in order of completion would be matched to the wrong requests.
    void handlesPipelinedRequestsConcurrentlyAndRespondsInOrder()
    {
        holding_server server;
        http_connection connection(server.connect());
        connection.send(request("/hold1") + request("/hold2") + request("/now"));
        waitUntil("both requests are held", [&] { return server.heldCount == 2; });
        server.thread().call([&] { server.heldExchanges[1]->respond(200, {}, "second"); });
        CPPUNIT_ASSERT(!connection.waitReadable(50ms));
        server.thread().call([&] { server.heldExchanges[0]->respond(200, {}, "first"); });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), readBody(connection));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), readBody(connection));
        CPPUNIT_ASSERT_EQUAL(std::string("/now"), readBody(connection));
    }

    // Guards against continuing work for a caller that has disconnected, also for pipelined
    // requests.
    void detectsCallerDisconnect()
    {
        holding_server server;
        {
            http_connection connection(server.connect());
            connection.send(request("/hold1") + request("/hold2"));
            waitUntil("both requests are held", [&] { return server.heldCount == 2; });
            connection.reset();
        }
        waitUntil("the disconnect is detected", [&] { return server.disconnects == 2; });
        server.thread().call([&] {
            for (const exchange_pointer &exchange : server.heldExchanges)
                exchange->respond(200, {}, "late");
        });
        CPPUNIT_ASSERT_EQUAL(200, exchange(server.address(), {}).status);
    }

    void rejectsMalformedAndTooLargeRequests()
    {
        http_server_options options;
        options.maxBodyBytes = 100;
        holding_server server(options);
        for (const char *text :
             {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
              "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: "
              "chunked\r\n\r\n",
              "GET / HTTP/1.1\nHost: h\r\n\r\n"}) {
            http_connection connection(server.connect());
            connection.send(text);
            Poco::Net::HTTPResponse head;
            CPPUNIT_ASSERT_MESSAGE(text, connection.readHead(head));
            CPPUNIT_ASSERT_EQUAL(400, static_cast<int>(head.getStatus()));
        }
        http_connection connection(server.connect());
        connection.send(request("/", "Content-Length: 101\r\n"));
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(connection.readHead(head));
        CPPUNIT_ASSERT_EQUAL(413, static_cast<int>(head.getStatus()));
        expectBodyIsServed(server, "after rejected requests");
    }

    // Guards against a graceful stop that closes a connection before all its pending responses.
    void stopSendsPendingResponsesBeforeClosing()
    {
        holding_server server;
        http_connection connection(server.connect());
        connection.send(request("/hold1") + request("/hold2"));
        waitUntil("both requests are held", [&] { return server.heldCount == 2; });
        server.thread().call([&] {
            server.server().announceStop();
            server.heldExchanges[0]->respond(200, {}, "first");
            server.heldExchanges[1]->respond(200, {}, "second");
        });
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(connection.readHead(head));
        CPPUNIT_ASSERT(head.get("Connection", "") != "close");
        std::string body;
        connection.readBody(head, [&](std::string_view part) { body += part; });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), body);
        Poco::Net::HTTPResponse last;
        CPPUNIT_ASSERT(connection.readHead(last));
        CPPUNIT_ASSERT_EQUAL(std::string("close"), last.get("Connection", ""));
        connection.readBody(last, [](std::string_view) {});
        CPPUNIT_ASSERT(connection.waitPeerLeft(10s));
    }

    // Guards against a graceful stop that closes a connection although further requests were read
    // from it, which wait behind the responses to earlier ones.
    void stopAnswersRequestsThatWereRead()
    {
        http_server_options options;
        for (const std::uint64_t maxUnsentBytes : {std::uint64_t{0}, options.maxUnsentBytes}) {
            options.maxUnsentBytesPerConnection = maxUnsentBytes;
            for (const std::string path : {"/first", "/large"}) {
                holding_server server(options);
                http_connection connection(server.connect());
                server.thread().call([&] { server.server().announceStop(); });
                connection.send(request(path) + request("/second", "Content-Length: 4\r\n") + "body"
                                + request("/third"));
                const std::string first = readBody(connection);
                CPPUNIT_ASSERT(first == (path == "/large" ? holding_server::largeBody() : path));
                CPPUNIT_ASSERT_EQUAL(std::string("/secondbody"), readBody(connection));
                Poco::Net::HTTPResponse last;
                CPPUNIT_ASSERT(connection.readHead(last));
                CPPUNIT_ASSERT_EQUAL(std::string("close"), last.get("Connection", ""));
                connection.readBody(last, [](std::string_view) {});
                CPPUNIT_ASSERT(connection.waitPeerLeft(10s));
            }
        }
    }

    void boundsBufferedBodies()
    {
        http_server_options options;
        options.maxBufferedBytes = 1'000;
        holding_server server(options);
        http_connection first(server.connect());
        first.send(request("/hold", "Content-Length: 900\r\n") + std::string(900, 'x'));
        waitUntil("the first request is held", [&] { return server.heldCount == 1; });
        http_connection second(server.connect());
        second.send(request("/", "Content-Length: 900\r\n") + std::string(900, 'y'));
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(second.readHead(head));
        CPPUNIT_ASSERT_EQUAL(503, static_cast<int>(head.getStatus()));
        server.thread().call([&] { server.heldExchanges[0]->respond(200, {}, "ok"); });
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), readBody(first));
        http_connection third(server.connect());
        third.send(request("/x", "Content-Length: 3\r\n") + "abc");
        CPPUNIT_ASSERT_EQUAL(std::string("/xabc"), readBody(third));
    }

    // Guards against buffering a large upload completely before forwarding it, which doubles its
    // transfer time.
    void dispatchesLongBodyBeforeItIsComplete()
    {
        http_server_options options;
        options.streamingThresholdBytes = 1'000;
        holding_server server(options);
        for (const bool isChunked : {false, true}) {
            const int before = server.heldCount;
            http_connection connection(server.connect());
            connection.send(
                request("/hold",
                        isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 3000\r\n"));
            connection.send((isChunked ? "bb8\r\n" : "") + std::string(2'000, 'x'));
            waitUntil("the request is dispatched", [&] { return server.heldCount == before + 1; });
            exchange_pointer exchange;
            server.thread().call([&] {
                exchange = server.heldExchanges.back();
                CPPUNIT_ASSERT(!exchange->isBodyComplete());
            });
            connection.send(std::string(1'000, 'y') + (isChunked ? "\r\n0\r\n\r\n" : ""));
            waitUntil("the body is complete", [&] {
                bool isComplete = false;
                server.thread().call([&] { isComplete = exchange->isBodyComplete(); });
                return isComplete;
            });
            server.thread().call([&] {
                CPPUNIT_ASSERT(exchange->body()
                               == std::string(2'000, 'x') + std::string(1'000, 'y'));
                exchange->respond(200, {}, "done");
            });
            CPPUNIT_ASSERT_EQUAL(std::string("done"), readBody(connection));
        }
    }

    // Guards against parsing the rest of a body as the next request after an early response.
    void parsesNextRequestAfterEarlyResponse()
    {
        http_server_options options;
        options.streamingThresholdBytes = 1'000;
        holding_server server(options);
        http_connection connection(server.connect());
        connection.send(request("/early", "Content-Length: 3000\r\n") + std::string(1'500, 'x'));
        readBody(connection);
        connection.send(std::string(1'500, 'y') + request("/next"));
        CPPUNIT_ASSERT_EQUAL(std::string("/next"), readBody(connection));
    }

    void incompleteOrMalformedBodyEndsItsRequest()
    {
        http_server_options options;
        options.streamingThresholdBytes = 1'000;
        holding_server server(options);
        {
            http_connection connection(server.connect());
            connection.send(request("/hold", "Content-Length: 3000\r\n") + std::string(2'000, 'x'));
            waitUntil("the request is dispatched", [&] { return server.heldCount == 1; });
            connection.reset();
        }
        waitUntil("the disconnect is detected", [&] { return server.disconnects == 1; });
        http_connection connection(server.connect());
        connection.send(request("/hold", "Transfer-Encoding: chunked\r\n") + "7d0\r\n"
                        + std::string(2'000, 'x'));
        waitUntil("the request is dispatched", [&] { return server.heldCount == 2; });
        connection.send("no chunk\r\n");
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(connection.readHead(head));
        CPPUNIT_ASSERT_EQUAL(400, static_cast<int>(head.getStatus()));
        CPPUNIT_ASSERT_EQUAL(2, server.disconnects.load());
        expectBodyIsServed(server, "after a cut and a malformed body");
    }

    // Guards against a wrong total of buffered bytes, after which every request with a body gets
    // 503: bytes of a rejected body were subtracted from it without having been added.
    void bodyThatEndsEarlyLeavesRoomForOthers()
    {
        using enum request_progress;
        for (const early_end &end : earlyEnds())
            for (const request_progress progress :
                 {not_dispatched, unanswered, answered, answer_queued})
                endBodyEarly(end, progress);
    }

    // Guards against uploads that saturate a slow link and so delay all other requests.
    void limitsRateOfStreamedBodies()
    {
        http_server_options options;
        options.streamingThresholdBytes = 1'000;
        options.bodyBytesPerSecond = 200'000;
        holding_server server(options);
        http_connection connection(server.connect());
        const auto start = std::chrono::steady_clock::now();
        connection.send(request("/hold", "Content-Length: 100000\r\n") + std::string(100'000, 'x'));
        waitUntil("the body is complete", [&] {
            bool isComplete = false;
            server.thread().call([&] {
                isComplete
                    = !server.heldExchanges.empty() && server.heldExchanges[0]->isBodyComplete();
            });
            return isComplete;
        });
        // Up to 64 KiB that are read before the request is dispatched are not rate-limited.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 150ms);
        server.thread().call([&] { server.heldExchanges[0]->respond(200, {}, "ok"); });
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), readBody(connection));
    }

    static void endBodyEarly(const early_end &end, request_progress progress)
    {
        using enum request_progress;
        const std::string context
            = fmt::format("{}, progress {}", end.name, static_cast<int>(progress));
        std::atomic<int> rejected = 0;
        http_server_options options;
        options.maxBodyBytes = 20'000;
        options.onInvalid = [&](const std::string &) { ++rejected; };
        if (progress != not_dispatched)
            options.streamingThresholdBytes = 1'000;
        holding_server server(options);
        const auto bufferedBytes = [&] {
            std::uint64_t result = 0;
            server.thread().call([&] { result = server.server().bufferedBytes(); });
            return result;
        };
        {
            http_connection connection(server.connect());
            if (progress == answer_queued)
                connection.send(request("/hold"));
            const bool isHeld = progress == unanswered;
            connection.send(request(isHeld ? "/hold" : "/early", end.head) + end.begin);
            if (progress == answered)
                readBody(connection);
            else
                waitUntil("the begin of the body has arrived: " + context,
                          [&] { return bufferedBytes() >= 2'000; });
            server.thread().call([&] {
                options.maxBodyBytes = end.maxBodyBytes;
                server.server().setOptions(options);
            });
            connection.send(end.rest);
            if (end.isReset)
                connection.reset();
            waitUntil("the body has ended: " + context, [&] {
                std::size_t connections = 0;
                server.thread().call([&] { connections = server.server().openConnections(); });
                return rejected > 0 || connections == 0;
            });
        }
        server.thread().call([&] {
            options.maxBodyBytes = 20'000;
            server.server().setOptions(options);
            for (const exchange_pointer &exchange : server.heldExchanges)
                exchange->respond(200, {}, "late");
        });
        expectBodyIsServed(server, context);
        waitUntil("no bytes are buffered: " + context, [&] { return bufferedBytes() == 0; });
    }

    // Guards against closing a connection as idle, or in a stop, while a caller still reads its
    // responses. What the kernel's buffers hold would hide this.
    void connectionIsNotIdleWhileResponsesAreSent()
    {
        http_server_options options;
        options.idleTimeout = 200ms;
        for (const int requests : {1, 3}) {
            holding_server server(options);
            http_connection connection(server.connect());
            for (int i = 0; i < requests; ++i)
                connection.send(request("/large"));
            waitUntil("a response is sent", [&] { return server.largeCount > 0; });
            waitFor(4 * options.idleTimeout);
            CPPUNIT_ASSERT(server.owesResponses());
            server.thread().call([&] { server.server().closeIdle(); });
            for (int i = 0; i < requests; ++i)
                CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
            connection.send(request("/after"));
            CPPUNIT_ASSERT_EQUAL(std::string("/after"), readBody(connection));
            CPPUNIT_ASSERT(connection.waitPeerLeft(10s)); // now it is idle
            CPPUNIT_ASSERT(!server.owesResponses());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.unsentBytes());
        }
    }

    // Guards against losing responses that are still sent because a request behind them stays
    // incomplete.
    void incompleteRequestDoesNotCutOffEarlierResponses()
    {
        http_server_options options;
        options.headTimeout = 200ms;
        options.bodyTimeout = 200ms;
        for (const std::uint64_t maxUnsentBytes : {0, 64 << 20}) {
            options.maxUnsentBytesPerConnection = options.maxUnsentBytes = maxUnsentBytes;
            for (const std::string &rest :
                 {std::string("GET /x HT"), request("/x", "Content-Length: 9\r\n") + "part"}) {
                holding_server server(options);
                http_connection connection(server.connect());
                connection.send(request("/large") + rest);
                waitUntil("a response is sent", [&] { return server.largeCount > 0; });
                waitFor(4 * options.headTimeout);
                CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
                // The request is rejected if it was read while the response was being sent.
                Poco::Net::HTTPResponse head;
                CPPUNIT_ASSERT_EQUAL(maxUnsentBytes > 0, connection.readHead(head));
                if (maxUnsentBytes > 0) {
                    CPPUNIT_ASSERT_EQUAL(408, static_cast<int>(head.getStatus()));
                    CPPUNIT_ASSERT_EQUAL(std::string("close"), head.get("Connection"));
                }
                expectBodyIsServed(server, rest);
            }
        }
    }

    // As above, for a request that is malformed after it was answered.
    void rejectionDoesNotCutOffEarlierResponses()
    {
        http_server_options options;
        options.streamingThresholdBytes = 1'000;
        holding_server server(options);
        http_connection connection(server.connect());
        connection.send(request("/large", "Transfer-Encoding: chunked\r\n") + "7d0\r\n"
                        + std::string(2'000, 'x') + "\r\n");
        waitUntil("the response is sent", [&] { return server.largeCount > 0; });
        connection.send("not a size\r\n");
        waitUntil("the connection reads no further", [&] {
            bool isRejected = false;
            server.thread().call([&] { isRejected = server.server().openRequests() == 0; });
            return isRejected;
        });
        CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
        expectBodyIsServed(server, "after the malformed body");
    }

    // Guards against an idle time that begins when the kernel takes the end of a response. A caller
    // on a slow link that reuses its connection in time would find it closed.
    void idleTimeBeginsWhenResponseIsDelivered()
    {
        http_server_options options;
        options.idleTimeout = 200ms;
        holding_server server(options);
        Poco::Net::StreamSocket socket;
        constexpr int windowBytes = 8 * 1024;
        socket.init(AF_INET);
        socket.setReceiveBufferSize(windowBytes);
        socket.connect(Poco::Net::SocketAddress(server.address()));
        http_connection connection(socket);
        const std::string path = "/" + std::string(15'000, 'p');
        connection.send(request(path));
        connection.send(request(path));
        waitFor(6 * options.idleTimeout);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.unsentBytes());
        CPPUNIT_ASSERT(server.owesResponses());
        CPPUNIT_ASSERT_EQUAL(path, readBody(connection));
        CPPUNIT_ASSERT_EQUAL(path, readBody(connection));
        connection.send(request("/after"));
        CPPUNIT_ASSERT_EQUAL(std::string("/after"), readBody(connection));
    }

    // Guards against connections and memory that are held forever by callers that don't read.
    void callerThatTakesNothingIsDisconnected()
    {
        http_server_options options;
        options.deliveryTimeout = 600ms;
        std::atomic<std::uint64_t> undelivered = 0;
        options.onUndelivered = [&](std::uint64_t bytes) { undelivered = bytes; };
        for (const std::string &fields : {std::string(), std::string("Connection: close\r\n")}) {
            undelivered = 0;
            holding_server server(options);
            http_connection connection(server.connect());
            connection.send(request("/large", fields));
            waitUntil("the response is sent", [&] { return server.unsentBytes() > 0; });
            waitUntil("the connection is closed", [&] { return server.openConnections() == 0; });
            CPPUNIT_ASSERT(undelivered > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.unsentBytes());
            expectBodyIsServed(server, "after a caller that did not read");
        }
    }

    // Guards against memory for the responses to pipelined requests of callers that don't read: the
    // number of unanswered requests doesn't limit it, because all of them are answered.
    void unsentResponsesAreBounded()
    {
        http_server_options options;
        options.maxUnsentBytes = 40U << 20;
        holding_server server(options);
        constexpr int callers = 6;
        constexpr int requests = 8;
        std::vector<http_connection> connections;
        for (int i = 0; i < callers; ++i) {
            connections.emplace_back(server.connect());
            for (int j = 0; j < requests; ++j)
                connections.back().send(request("/large"));
        }
        waitUntil("each caller has a response", [&] { return server.largeCount >= callers; });
        // A caller with unsent responses gets no further ones, and one without gets its own.
        const std::uint64_t responseBytes = holding_server::largeBody().size() + 1'000;
        CPPUNIT_ASSERT(server.unsentBytes() <= callers * responseBytes);
        CPPUNIT_ASSERT_EQUAL(callers, server.largeCount.load());
        expectBodyIsServed(server, "while others don't read");
        for (http_connection &connection : connections)
            for (int j = 0; j < requests; ++j)
                CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
        CPPUNIT_ASSERT_EQUAL(callers * requests, server.largeCount.load());
        waitUntil("all is sent", [&] { return server.unsentBytes() == 0; });
    }

    // Guards against rejecting a request whose head is incomplete only because the server doesn't
    // read the rest until earlier responses are sent.
    void headThatWaitsForResponsesIsNotTimedOut()
    {
        http_server_options options;
        options.headTimeout = 200ms;
        holding_server server(options);
        http_connection connection(server.connect());
        connection.send(request("/large"));
        waitUntil("the response is sent", [&] { return server.unsentBytes() > 0; });
        constexpr int requests = 40; // more than is read at once
        const std::string padding = "Padding: " + std::string(3'000, 'p') + "\r\n";
        std::string text;
        for (int i = 0; i < requests; ++i)
            text += request(fmt::format("/{}", i), padding);
        connection.send(text);
        waitFor(4 * options.headTimeout);
        CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
        for (int i = 0; i < requests; ++i)
            CPPUNIT_ASSERT_EQUAL(fmt::format("/{}", i), readBody(connection));
    }

    // As above, for a connection that waits only because others have unsent responses: it has to go
    // on reading once these are gone, although nothing happens on the connection itself.
    void readingResumesWhenOthersTakeTheirResponses()
    {
        http_server_options options;
        options.headTimeout = 200ms;
        options.maxUnsentBytesPerConnection = 64U << 20;
        options.maxUnsentBytes = 20U << 20;
        holding_server server(options);
        http_connection other(server.connect());
        http_connection connection(server.connect());
        const std::string next = request("/next");
        constexpr std::size_t firstPart = 10;
        other.send(request("/large"));
        connection.send(request("/large") + next.substr(0, firstPart));
        waitUntil("both have unsent responses",
                  [&] { return server.unsentBytes() > options.maxUnsentBytes; });
        connection.send(next.substr(firstPart));
        other.reset();
        waitUntil("the other caller is gone", [&] { return server.openConnections() == 1; });
        waitFor(6 * options.headTimeout);
        CPPUNIT_ASSERT(readBody(connection) == holding_server::largeBody());
        CPPUNIT_ASSERT_EQUAL(std::string("/next"), readBody(connection));
    }

    void abortClosesConnectionWithoutResponse()
    {
        holding_server server;
        http_connection connection(server.connect());
        connection.send(request("/hold"));
        waitUntil("the request is held", [&] { return server.heldCount == 1; });
        server.thread().call([&] { server.heldExchanges[0]->abort(); });
        CPPUNIT_ASSERT(connection.waitPeerLeft(10s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);
