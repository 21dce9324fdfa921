#include "testing/fault_proxy.h"

#include "base/error.h"
#include "testing/fault_proxy_control.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/stand_in.h"
#include "testing/wait.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// How long nothing may arrive on a silent link; the absence of bytes can't be waited for.
constexpr std::chrono::milliseconds silence{100};

} // namespace

class fault_proxy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_proxy_test);
    CPPUNIT_TEST(keepsBytesInOrderOnABadLink);
    CPPUNIT_TEST(isNeverFasterThanItsLimits);
    CPPUNIT_TEST(holdsBothDirections);
    CPPUNIT_TEST(holdsOneDirection);
    CPPUNIT_TEST(resetsConnectionsThatLostBytes);
    CPPUNIT_TEST(refusesAndAcceptsAgain);
    CPPUNIT_TEST(leavesConnectionsHalfOpen);
    CPPUNIT_TEST(hidesTheTargetsEndDuringAPartition);
    CPPUNIT_TEST(obeysItsControlPort);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_upstream = std::make_unique<stand_in>(stand_in_options{});
        m_proxy = std::make_unique<fault_proxy>("127.0.0.1:0", m_upstream->address());
    }
    void tearDown() override
    {
        m_proxy.reset();
        m_upstream.reset();
    }

    // Guards against bytes that overtake each other through jitter or stalls.
    void keepsBytesInOrderOnABadLink()
    {
        m_proxy->setConditions(
            fault_proxy::to_target,
            {.delay = 1ms, .jitter = 2ms, .stallProbability = 0.1, .stallTime = 5ms});
        m_proxy->setConditions(
            fault_proxy::to_client,
            {.delay = 1ms, .jitter = 2ms, .stallProbability = 0.1, .stallTime = 5ms});
        std::string body(2'000'000, '\0');
        for (std::size_t i = 0; i < body.size(); ++i)
            body[i] = static_cast<char>((i * i + i / 256) % 251);
        const http_request upload{.method = "POST",
                                  .path = "/bytes/2000000",
                                  .headers = {{"X-Request-Mark", "abcdefg"}},
                                  .body = body};
        const http_response direct = exchange(m_upstream->address(), upload);
        const http_response proxied = exchange(m_proxy->address(), upload);
        CPPUNIT_ASSERT(direct.isComplete && proxied.isComplete);
        CPPUNIT_ASSERT_EQUAL(direct.header("x-body-digest"), proxied.header("x-body-digest"));
        CPPUNIT_ASSERT(direct.body == proxied.body);
        CPPUNIT_ASSERT(m_proxy->read().stalls > 0);
    }

    // Guards against a link that is better than asked. Only lower bounds: a slow machine is fine.
    void isNeverFasterThanItsLimits()
    {
        m_proxy->setConditions(fault_proxy::to_target, {.delay = 20ms});
        m_proxy->setConditions(fault_proxy::to_client,
                               {.delay = 20ms, .bytesPerSecond = 1'000'000});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(exchange(m_proxy->address(), {.path = "/bytes/200000"}).isComplete);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 240ms);
    }

    // Guards against a partition that a process can notice: no refusal, no end, no bytes.
    void holdsBothDirections()
    {
        m_proxy->partition(true, true);
        auto response
            = std::async(std::launch::async, [this] { return exchange(m_proxy->address(), {}); });
        waitUntil("the connection is accepted", [this] { return m_proxy->read().accepted == 1; });
        CPPUNIT_ASSERT(response.wait_for(silence) == std::future_status::timeout);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_upstream->gauge().read().entered);
        m_proxy->heal();
        CPPUNIT_ASSERT_EQUAL(200, response.get().status);
    }

    // Guards against a one-way partition that also stops the open direction.
    void holdsOneDirection()
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_proxy->address()));
        http_connection connection(socket);
        CPPUNIT_ASSERT_EQUAL(200, exchange(connection, {}).status);
        m_proxy->partition(false, true);
        connection.send("GET /second HTTP/1.1\r\n\r\n");
        waitUntil("the request was run",
                  [this] { return m_upstream->gauge().read().entered == 2; });
        CPPUNIT_ASSERT(!connection.waitReadable(silence));
        m_proxy->heal();
        CPPUNIT_ASSERT(connection.waitReadable(defaultWaitLimit));
    }

    // Guards against a stream that continues with a gap.
    void resetsConnectionsThatLostBytes()
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_proxy->address()));
        http_connection connection(socket);
        CPPUNIT_ASSERT_EQUAL(200, exchange(connection, {}).status);
        m_proxy->partition(true, true, link_conditions::flow::discard);
        connection.send("GET /lost HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(!connection.waitReadable(silence));
        m_proxy->heal();
        CPPUNIT_ASSERT(connection.waitReadable(defaultWaitLimit));
        CPPUNIT_ASSERT_THROW(connection.readToEnd([](std::string_view) {}), Poco::Exception);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_upstream->gauge().read().entered);
    }

    void refusesAndAcceptsAgain()
    {
        m_proxy->setRefusing(true);
        CPPUNIT_ASSERT_EQUAL(0, exchange(m_proxy->address(), {}).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_proxy->read().accepted);
        m_proxy->setRefusing(false);
        CPPUNIT_ASSERT_EQUAL(200, exchange(m_proxy->address(), {}).status);
    }

    void leavesConnectionsHalfOpen()
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_proxy->address()));
        http_connection connection(socket);
        CPPUNIT_ASSERT_EQUAL(200, exchange(connection, {}).status);
        m_proxy->leaveHalfOpen();
        waitUntil("the target's side is closed", [this] {
            return m_upstream->statusJson().find(R"("connections":0)") != std::string::npos;
        });
        connection.send("GET /nobody HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(!connection.waitReadable(silence));
        CPPUNIT_ASSERT_EQUAL(200, exchange(m_proxy->address(), {}).status);
    }

    // Guards against a dying target that is noticed through a partition.
    void hidesTheTargetsEndDuringAPartition()
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_proxy->address()));
        http_connection connection(socket);
        CPPUNIT_ASSERT_EQUAL(200, exchange(connection, {}).status);
        m_proxy->partition(true, true);
        m_upstream.reset();
        CPPUNIT_ASSERT(!connection.waitReadable(silence));
        m_proxy->heal();
        CPPUNIT_ASSERT(connection.waitReadable(defaultWaitLimit));
    }

    void obeysItsControlPort()
    {
        const fault_proxy_control control(*m_proxy, "127.0.0.1:0");
        const auto post = [&](const std::string &json) {
            return exchange(control.address(), {.method = "POST", .path = "/set", .body = json})
                .status;
        };
        CPPUNIT_ASSERT_EQUAL(200,
                             post(R"({"both":{"delay":"5ms","rate":"8Mbit/s"},)"
                                  R"("to_client":{"state":"hold","stall":0.5}})"));
        const link_conditions toTarget = m_proxy->conditions(fault_proxy::to_target);
        const link_conditions toClient = m_proxy->conditions(fault_proxy::to_client);
        CPPUNIT_ASSERT(toTarget.delay == 5ms && toClient.delay == 5ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000'000), toTarget.bytesPerSecond);
        CPPUNIT_ASSERT(toTarget.state == link_conditions::flow::open);
        CPPUNIT_ASSERT(toClient.state == link_conditions::flow::hold);
        CPPUNIT_ASSERT_EQUAL(0.5, toClient.stallProbability);
        CPPUNIT_ASSERT_EQUAL(400, post(R"({"both":{"delay":"5"}})"));
        CPPUNIT_ASSERT_EQUAL(400, post("nonsense"));
        CPPUNIT_ASSERT_EQUAL(200, post(R"({"action":"heal"})"));
        CPPUNIT_ASSERT(m_proxy->conditions(fault_proxy::to_client).delay == 0ms);
        CPPUNIT_ASSERT_EQUAL(200, exchange(control.address(), {.path = "/status"}).status);
    }

private:
    std::unique_ptr<stand_in> m_upstream;
    std::unique_ptr<fault_proxy> m_proxy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_proxy_test);
