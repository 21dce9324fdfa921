#include "testing/http_client.h"
#include "testing/process.h"
#include "testing/stand_in.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>
#include <memory>

using namespace buckthorngrade;

namespace {

std::int64_t statusValue(const std::string &json, const std::string &key)
{
    return Poco::JSON::Parser()
        .parse(json)
        .extract<Poco::JSON::Object::Ptr>()
        ->getValue<std::int64_t>(key);
}

http_request markedRequest(const std::string &path, const std::string &mark)
{
    return {.method = "POST", .path = path, .headers = {{"X-Request-Mark", mark}}, .body = "body"};
}

} // namespace

class stand_in_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stand_in_test);
    CPPUNIT_TEST(shedsBeyondItsSlotsAndCountsThem);
    CPPUNIT_TEST(failsAsAsked);
    CPPUNIT_TEST(recordsOnlyWhatItRan);
    CPPUNIT_TEST(noticesThatTheClientLeft);
    CPPUNIT_TEST(takesLargeUploadsInBoundedMemory);
    CPPUNIT_TEST(loadEndpointMisleads);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stand-in that runs more than it says, which would hide an overload.
    void shedsBeyondItsSlotsAndCountsThem()
    {
        stand_in upstream({.slots = 2});
        upstream.faults().add({.kind = upstream_fault::hang, .count = 2});
        std::array<std::future<http_response>, 2> hanging;
        for (auto &each : hanging)
            each = std::async(std::launch::async, [&] {
                return exchange(upstream.address(), markedRequest("/a", "m"));
            });
        waitUntil("both slots are taken", [&] { return upstream.gauge().read().running == 2; });
        const http_response shed = exchange(upstream.address(), markedRequest("/b", "n"));
        CPPUNIT_ASSERT_EQUAL(503, shed.status);
        CPPUNIT_ASSERT_EQUAL(std::string("true"), shed.header("not-run"));
        upstream.faults().clear();
        for (auto &each : hanging)
            CPPUNIT_ASSERT_EQUAL(200, each.get().status);
        CPPUNIT_ASSERT_EQUAL(2U, upstream.gauge().read().peakRunning);
        CPPUNIT_ASSERT_EQUAL(3U, upstream.gauge().read().peakOffered);
        CPPUNIT_ASSERT_EQUAL(0U, upstream.gauge().read().running);
    }

    // Guards against a fault that is not what its name says; tests of retries rely on the names.
    void failsAsAsked()
    {
        struct expectation
        {
            const char *kind;
            int status; // 0: no head arrives
            bool isComplete;
            int ran;
        };
        const std::vector<expectation> expectations = {{"reset_before_read", 0, false, 0},
                                                       {"reset_after_request_head", 0, false, 0},
                                                       {"reset_before_answer", 0, false, 1},
                                                       {"reset_after_answer_head", 200, false, 1},
                                                       {"reset_in_body", 200, false, 1},
                                                       {"truncate", 200, false, 1},
                                                       {"late", 200, true, 1}};
        stand_in upstream({});
        for (const expectation &expected : expectations) {
            const auto before = statusValue(upstream.statusJson(), "ran");
            upstream.faults().add({.kind = upstreamFaultFromString(expected.kind),
                                   .count = 1,
                                   .delay = std::chrono::milliseconds(1)});
            const http_response response
                = exchange(upstream.address(), markedRequest("/bytes/100000", "mark"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.kind, expected.status, response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.kind, expected.isComplete, response.isComplete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.kind, before + expected.ran,
                                         statusValue(upstream.statusJson(), "ran"));
        }
    }

    // Guards against records of requests that were not run, or not run whole.
    void recordsOnlyWhatItRan()
    {
        const temp_folder folder;
        const auto file = folder.path() / "record";
        {
            stand_in upstream({.name = "u1", .recordFile = file});
            http_request request = markedRequest("/claims/7?x=1", "m1");
            request.headers["Idempotency-Key"] = "k1";
            CPPUNIT_ASSERT_EQUAL(200, exchange(upstream.address(), request).status);
            request.headers["Buckthorn-Deadline-Ms"] = "0";
            CPPUNIT_ASSERT_EQUAL(504, exchange(upstream.address(), request).status);
            Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(upstream.address()));
            http_connection(socket).send("POST /claims/8 HTTP/1.1\r\nContent-Length: 9\r\n\r\nab");
            socket.close();
            waitUntil("the cut upload is counted",
                      [&] { return statusValue(upstream.statusJson(), "incomplete") == 1; });
        }
        const std::string text = readWholeFile(file);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(text.begin(), text.end(), '\n'));
        for (const std::string part : {R"("key":"k1")", R"("mark":"m1")", R"("method":"POST")",
                                       R"("path":"/claims/7?x=1")", R"("running":1)"})
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    // Guards against work that continues after its caller left and is counted as free.
    void noticesThatTheClientLeft()
    {
        stand_in upstream({});
        upstream.faults().add({.kind = upstream_fault::hang, .count = 1});
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(upstream.address()));
        http_connection(socket).send("GET /slow HTTP/1.1\r\n\r\n");
        waitUntil("it runs", [&] { return upstream.gauge().read().running == 1; });
        socket.close();
        waitUntil("it is cancelled", [&] { return upstream.gauge().read().running == 0; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), statusValue(upstream.statusJson(), "cancelled"));
    }

    // Guards against uploads that are kept in memory: 300 MB have to pass within 64 MB.
    void takesLargeUploadsInBoundedMemory()
    {
        constexpr std::int64_t uploadBytes = 300'000'000;
        constexpr long boundKb = 64L * 1024;
        const temp_folder folder;
        process upstream(std::string(BG_BINARY_DIR) + "/stand_in_upstream", {},
                         folder.path() / "errors", folder.path() / "output");
        waitUntil("it listens", [&] { return upstream.outputText().ends_with('\n'); });
        std::string address = upstream.outputText();
        address.pop_back();
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
        http_connection connection(socket);
        connection.send("PUT /up HTTP/1.1\r\nContent-Length: 300000000\r\n\r\n");
        const std::string part(1'000'000, 'x');
        for (std::int64_t sent = 0; sent < uploadBytes; sent += 1'000'000)
            connection.send(part);
        Poco::Net::HTTPResponse response;
        CPPUNIT_ASSERT(connection.readHead(response));
        CPPUNIT_ASSERT_EQUAL(std::string("300000000"), response.get("X-Body-Length"));
        const std::string status
            = readWholeFile("/proc/" + std::to_string(upstream.id()) + "/status");
        const long peakKb = std::stol(status.substr(status.find("VmHWM:") + 6));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peakKb), peakKb < boundKb);
    }

    void loadEndpointMisleads()
    {
        stand_in upstream({.slots = 4});
        const auto setMode = [&](const std::string &json) {
            CPPUNIT_ASSERT_EQUAL(
                200,
                exchange(upstream.address(), {.method = "POST", .path = "/_load", .body = json})
                    .status);
            return exchange(upstream.address(), {.path = "/load"});
        };
        upstream.faults().add({.kind = upstream_fault::hang, .count = 1});
        auto running = std::async(std::launch::async,
                                  [&] { return exchange(upstream.address(), {.path = "/slow"}); });
        waitUntil("it runs", [&] { return upstream.gauge().read().running == 1; });
        const std::string busy = R"({"load":0.2500,"in_flight":1,"slots":4})";
        const std::string idle = R"({"load":0.0000,"in_flight":0,"slots":4})";
        CPPUNIT_ASSERT_EQUAL(busy, exchange(upstream.address(), {.path = "/load"}).body);
        CPPUNIT_ASSERT_EQUAL(idle, setMode(R"({"lag":"50s"})").body);
        CPPUNIT_ASSERT_EQUAL(idle, setMode(R"({"mode":"zero","lag":"0ms"})").body);
        CPPUNIT_ASSERT_EQUAL(404, setMode(R"({"mode":"missing"})").status);
        CPPUNIT_ASSERT_EQUAL(200, setMode(R"({"mode":"nonsense"})").status);
        upstream.faults().clear();
        running.get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stand_in_test);
