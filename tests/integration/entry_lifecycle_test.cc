#include "base/error.h"
#include "testing/deployment.h"
#include "testing/http_connection.h"
#include "testing/wait.h"
#include "tests/integration/entry_calls.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <thread>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

bool lookupNames(const deployment &system, const std::string &asked, const std::string &named)
{
    const auto response = system.lookup(asked, "lookup");
    return response.body.find("\"" + named + "\"") != std::string::npos;
}

// Largest resident memory of a process so far, in bytes.
std::uint64_t peakMemory(pid_t id)
{
    std::ifstream status(fmt::format("/proc/{}/status", id));
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoull(line.substr(6)) * 1024;
    throw error("no VmHWM");
}

Poco::JSON::Object::Ptr entryStatus(const deployment &system, const std::string &name)
{
    const auto response = exchange(system.address(name), {.path = "/v1/status"});
    if (response.status != 200)
        return new Poco::JSON::Object;
    return Poco::JSON::Parser().parse(response.body).extract<Poco::JSON::Object::Ptr>();
}

} // namespace

class entry_lifecycle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_lifecycle_test);
    CPPUNIT_TEST(uploadOutlivesADrain);
    CPPUNIT_TEST(stopFinishesRequestsInFlight);
    CPPUNIT_TEST(secondSignalEndsAtOnce);
    CPPUNIT_TEST(drainedUpstreamGetsNoNewWork);
    CPPUNIT_TEST(lossOfAllControlKeepsTrafficGoing);
    CPPUNIT_TEST(cutOffInstanceLeavesLookups);
    CPPUNIT_TEST_SUITE_END();

public:
    // I7: neither the drain of the upstream nor the stop of the entry instance cuts off an upload,
    // which is streamed in bounded memory.
    void uploadOutlivesADrain()
    {
        constexpr std::size_t total = 300UL << 20U;
        constexpr std::uint64_t maxMemory = 150UL << 20U;
        deployment system({.controls = 1, .entries = 2, .requestDeadline = 30s, .drainLimit = 60s});
        system.startAll();
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(system.address("entry-1"))};
        socket.setReceiveTimeout(Poco::Timespan(120, 0));
        http_connection connection(socket);
        connection.send(fmt::format("POST /svc/claim/upload HTTP/1.1\r\nHost: a\r\n"
                                    "X-Request-Mark: upload\r\nContent-Length: {}\r\n\r\n",
                                    total));
        const std::string part(1UL << 20U, 'x');
        for (std::size_t sent = 0; sent < total; sent += part.size()) {
            connection.send(part);
            if (sent == total / 2) {
                const std::string upstream = busyUpstream(system);
                CPPUNIT_ASSERT_EQUAL(200, system.announceDrain("upstream", upstream).status);
                system.find("entry-1")->signal(SIGTERM);
                waitUntil("entry-1 leaves the look-ups",
                          [&] { return !lookupNames(system, "entry-2", "entry-1"); });
            }
        }
        CPPUNIT_ASSERT(peakMemory(system.find("entry-1")->id()) < maxMemory);
        Poco::Net::HTTPResponse response;
        CPPUNIT_ASSERT(connection.readHead(response));
        CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
        CPPUNIT_ASSERT_EQUAL(std::to_string(total), response.get("X-Body-Length"));
        CPPUNIT_ASSERT(connection.readBody(response, [](std::string_view) {}));
        CPPUNIT_ASSERT(system.find("entry-1")->waitExit(defaultWaitLimit) == 0);
    }

    void stopFinishesRequestsInFlight()
    {
        constexpr int callers = 4;
        deployment system({.controls = 1, .entries = 2, .serviceTime = 3s});
        system.startAll();
        std::vector<http_response> responses(callers);
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&, i] {
                responses[static_cast<std::size_t>(i)]
                    = requestUntilRun(system, "entry-1", "lookup", {.path = fmt::format("/{}", i)});
            });
        waitUntil("all are in flight", [&] {
            return entryStatus(system, "entry-1")->optValue("in_flight", 0) == callers;
        });
        system.find("entry-1")->signal(SIGTERM);
        waitUntil("it is not ready", [&] {
            return exchange(system.address("entry-1"), {.path = "/readyz"}).status == 503;
        });
        // Callers that still have a cached look-up are served.
        CPPUNIT_ASSERT_EQUAL(200,
                             requestNearby(system, "entry-1", "claim", {.path = "/late"}).status);
        waitUntil("entry-1 leaves the look-ups",
                  [&] { return !lookupNames(system, "entry-2", "entry-1"); });
        for (std::jthread &thread : threads)
            thread.join();
        for (const http_response &response : responses)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body + response.failure, 200, response.status);
        CPPUNIT_ASSERT(system.find("entry-1")->waitExit(defaultWaitLimit) == 0);
        const std::string log = system.log("entry-1");
        CPPUNIT_ASSERT(log.find("drain_waiting") != std::string::npos);
        CPPUNIT_ASSERT(log.find("requests_cut_off=0") != std::string::npos);
    }

    void secondSignalEndsAtOnce()
    {
        deployment system({.controls = 1, .entries = 1, .drainLimit = 600s});
        system.startAll();
        for (const std::string &upstream : system.upstreamNames())
            system.upstreamControl(upstream, "/_fault", R"({"kind":"hang"})");
        std::jthread caller([&] { requestNearby(system, "entry-1", "lookup", {.path = "/x"}); });
        waitUntil("it is in flight",
                  [&] { return entryStatus(system, "entry-1")->optValue("in_flight", 0) == 1; });
        process &entry = *system.find("entry-1");
        entry.signal(SIGTERM);
        entry.waitForError("drain_started", defaultWaitLimit);
        entry.signal(SIGTERM);
        // Far below the drain limit, so only the second signal can have ended it.
        const auto code = entry.waitExit(defaultWaitLimit);
        caller.join();
        CPPUNIT_ASSERT(code == 1);
        CPPUNIT_ASSERT(system.log("entry-1").find("drain_cut_off") != std::string::npos);
    }

    // I6.
    void drainedUpstreamGetsNoNewWork()
    {
        deployment system({.controls = 1, .entries = 1});
        system.startAll();
        // The nearest upstream, which all requests would go to.
        CPPUNIT_ASSERT_EQUAL(200,
                             requestNearby(system, "entry-1", "lookup", {.path = "/x"}).status);
        CPPUNIT_ASSERT(system.upstreamStatus("lookup-1")->getValue<int>("ran") > 0);
        CPPUNIT_ASSERT_EQUAL(200, system.announceDrain("upstream", "lookup-1").status);
        system.waitInForce(system.leaderStatus()->getValue<std::uint64_t>("revision"));
        system.upstreamControl("lookup-1", "/_drain", R"({"on":true})");
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT_EQUAL(200,
                                 requestNearby(system, "entry-1", "lookup", {.path = "/y"}).status);
        CPPUNIT_ASSERT_EQUAL(
            0, system.upstreamStatus("lookup-1")->getValue<int>("ran_while_draining"));
    }

    void lossOfAllControlKeepsTrafficGoing()
    {
        deployment system({.controls = 1, .entries = 2});
        system.startAll();
        waitUntil("both instances are known",
                  [&] { return lookupNames(system, "entry-1", "entry-2"); });
        system.kill("control-1");
        waitUntil("no quorum is proven", [&] {
            return entryStatus(system, "entry-1")->optValue<std::string>("freshness", "")
                == "no-quorum-proven";
        });
        CPPUNIT_ASSERT_EQUAL(200, exchange(system.address("entry-1"), {.path = "/readyz"}).status);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(lookupNames(system, "entry-1", "entry-2"));
            CPPUNIT_ASSERT_EQUAL(200,
                                 requestNearby(system, "entry-1", "lookup", {.path = "/x"}).status);
        }
        const auto keyed = requestNearby(
            system, "entry-1", "claim",
            {.method = "POST", .path = "/x", .headers = {{"Idempotency-Key", "k"}}, .body = "b"});
        CPPUNIT_ASSERT_EQUAL(503, keyed.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), keyed.header("buckthorn-outcome"));
        system.start("control-1");
        system.waitReady("entry-1");
    }

    // I8: an instance that may run an outdated configuration is no longer used 7 s after it lost
    // contact, counting the time that callers cache look-ups.
    void cutOffInstanceLeavesLookups()
    {
        deployment system({.controls = 1, .entries = 2, .proxyControls = true});
        system.startAll();
        waitUntil("both instances are known",
                  [&] { return lookupNames(system, "entry-1", "entry-2"); });
        const auto start = std::chrono::steady_clock::now();
        system.link("entry-2", "control-1").partition(true, true);
        std::chrono::steady_clock::time_point lastUse = start;
        const auto watch = [&](const std::string &asked) {
            const auto response = system.lookup(asked, "lookup");
            if (response.body.find("\"entry-2\"") == std::string::npos)
                return false;
            const auto answer
                = Poco::JSON::Parser().parse(response.body).extract<Poco::JSON::Object::Ptr>();
            lastUse = std::max(lastUse,
                               std::chrono::steady_clock::now()
                                   + std::chrono::milliseconds(answer->getValue<int>("ttl_ms")));
            return true;
        };
        waitUntil("entry-2 is left out", [&] {
            const bool byOther = watch("entry-1");
            const bool byItself = watch("entry-2");
            return !byOther && !byItself;
        });
        const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(lastUse - start);
        // The 7 s are asserted on the rules themselves, in lookup_policy_test: here a stalled
        // machine would decide the verdict.
        fmt::print(stderr, "a cut-off instance was in use for {} ms\n", taken.count());
        // It still names the others and carries requests that reach it.
        CPPUNIT_ASSERT(lookupNames(system, "entry-2", "entry-1"));
        CPPUNIT_ASSERT_EQUAL(200,
                             requestNearby(system, "entry-2", "lookup", {.path = "/x"}).status);
        system.healLinks();
        system.waitReady("entry-2");
    }

private:
    // The upstream that runs the only request.
    static std::string busyUpstream(const deployment &system)
    {
        for (const std::string &upstream : system.upstreamNames())
            if (system.upstreamStatus(upstream)->getValue<int>("running") > 0)
                return upstream;
        throw error("no upstream runs a request");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_lifecycle_test);
