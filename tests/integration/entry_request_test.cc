#include "base/error.h"
#include "testing/deployment.h"
#include "testing/http_connection.h"
#include "testing/wait.h"
#include "tests/integration/entry_calls.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <thread>

using namespace buckthorngrade;

namespace {

struct sent_request
{
    std::string kind; // "idempotent", "plain" or "keyed"
    std::string mark;
    http_response response;
};

http_request makeRequest(const std::string &kind, const std::string &mark)
{
    http_request request{.method = kind == "idempotent" ? "GET" : "POST",
                         .path = "/work/" + mark,
                         .headers = {{"X-Request-Mark", mark}}};
    if (kind != "idempotent")
        request.body = "content of " + mark;
    if (kind == "keyed")
        request.headers["Idempotency-Key"] = "key-" + mark;
    return request;
}

// Requests that the upstreams ran, by mark.
std::map<std::string, int> runsByMark(const deployment &system)
{
    std::map<std::string, int> runs;
    for (const auto &record : system.records())
        ++runs[record->getValue<std::string>("mark")];
    return runs;
}

// What must hold between what a caller was told and the upstreams' durable record.
void checkAgainstRecord(const deployment &system, const std::vector<sent_request> &requests)
{
    const auto runs = runsByMark(system);
    for (const sent_request &item : requests) {
        const auto found = runs.find(item.mark);
        const int ran = found == runs.end() ? 0 : found->second;
        const std::string outcome = item.response.header("buckthorn-outcome");
        const std::string what
            = fmt::format("{} {}: status {}, outcome '{}', ran {} times", item.kind, item.mark,
                          item.response.status, outcome, ran);
        if (outcome == "not-run")
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, ran);
        if (outcome == "ran")
            CPPUNIT_ASSERT_MESSAGE(what, ran >= 1);
        if (item.kind != "idempotent")
            CPPUNIT_ASSERT_MESSAGE(what, ran <= 1);
        if (outcome == "ran" && item.response.status == 200)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, item.mark, item.response.header("x-request-mark"));
        if (item.response.status == 200 && item.response.isComplete)
            CPPUNIT_ASSERT_MESSAGE(what, item.response.body.find(item.mark) != std::string::npos);
    }
}

} // namespace

class entry_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_request_test);
    CPPUNIT_TEST(outcomesAgreeWithTheRecordUnderFaults);
    CPPUNIT_TEST(killedUpstreamLeavesTruthfulOutcomes);
    CPPUNIT_TEST(killedEntryDoesNotRunAKeyAgain);
    CPPUNIT_TEST(keyedOutcomeIsRepeated);
    CPPUNIT_TEST(upstreamsNeverGetMoreThanTheirSlots);
    CPPUNIT_TEST(cancelsAndKeepsDeadlines);
    CPPUNIT_TEST(malformedRequestsReachNoUpstream);
    CPPUNIT_TEST(decisionsCanBeExplained);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<const char *, 3> kinds = {"idempotent", "plain", "keyed"};

public:
    // An upstream that fails at each point of a request: nothing that a caller was told was not run
    // may have run, and nothing but idempotent work may run twice.
    void outcomesAgreeWithTheRecordUnderFaults()
    {
        deployment system(
            {.controls = 1, .entries = 2, .requestDeadline = std::chrono::milliseconds(1500)});
        system.startAll();
        const std::vector<std::string> faults = {"reset_before_read",
                                                 "reset_after_request_head",
                                                 "reset_before_answer",
                                                 "reset_after_answer_head",
                                                 "reset_in_body",
                                                 "truncate",
                                                 "hang"};
        std::vector<sent_request> requests;
        const auto send
            = [&](const std::string &entry, const std::string &kind, const std::string &mark) {
                  requests.push_back(
                      {kind, mark, requestNearby(system, entry, "claim", makeRequest(kind, mark))});
                  return requests.back().response;
              };
        for (const std::string &fault : faults) {
            for (const std::string kind : kinds) {
                const std::string mark = fmt::format("{}-{}", fault, kind);
                // All upstreams, once each, so that a retry meets the fault as well.
                for (const std::string &upstream : system.upstreamNames())
                    if (upstream.starts_with("claim"))
                        system.upstreamControl(
                            upstream, "/_fault",
                            fmt::format(R"({{"kind":"{}","count":1,"path":"/work/{}"}})", fault,
                                        mark));
                const http_response first = send("entry-1", kind, mark);
                if (first.header("buckthorn-outcome") == "unknown" || first.status == 0
                    || !first.isComplete)
                    CPPUNIT_ASSERT_MESSAGE(mark,
                                           fault != "reset_before_read" || kind != "keyed"
                                               || first.header("buckthorn-outcome") == "unknown");
                for (const std::string &upstream : system.upstreamNames())
                    system.upstreamControl(upstream, "/_fault", R"({"kind":"none"})");
                if (kind == "keyed") {
                    // The same key through another instance never runs it a second time.
                    const http_response again = send("entry-2", kind, mark);
                    const auto outcome = again.header("buckthorn-outcome");
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} again: {}", mark, outcome),
                                           outcome == "recorded" || outcome == "unknown"
                                               || outcome == "in-progress" || outcome == "ran");
                }
                // Successes in between keep the upstreams from being ejected.
                for (int i = 0; i < 12; ++i)
                    send("entry-1", "idempotent", fmt::format("{}-after-{}", mark, i));
            }
        }
        checkAgainstRecord(system, requests);
    }

    void killedUpstreamLeavesTruthfulOutcomes()
    {
        deployment system(
            {.controls = 1, .entries = 1, .requestDeadline = std::chrono::milliseconds(3000)});
        system.startAll();
        std::vector<sent_request> requests;
        for (const std::string kind : kinds) {
            const std::string mark = "killed-" + kind;
            system.upstreamControl("claim-1", "/_fault",
                                   fmt::format(R"({{"kind":"hang","path":"/work/{}"}})", mark));
            sent_request item{kind, mark, {}};
            std::jthread caller([&] {
                item.response = requestNearby(system, "entry-1", "claim", makeRequest(kind, mark));
            });
            waitUntil("the request runs", [&] { return runsByMark(system).contains(mark); });
            system.kill("claim-1");
            caller.join();
            requests.push_back(item);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(mark,
                                         std::string(kind == "idempotent" ? "ran" : "unknown"),
                                         item.response.header("buckthorn-outcome"));
            // With the upstream gone, the same service goes on elsewhere.
            requests.push_back(
                {"plain", mark + "-gone",
                 requestNearby(system, "entry-1", "claim", makeRequest("plain", mark + "-gone"))});
            CPPUNIT_ASSERT_EQUAL(200, requests.back().response.status);
            system.start("claim-1");
        }
        checkAgainstRecord(system, requests);
    }

    void killedEntryDoesNotRunAKeyAgain()
    {
        deployment system(
            {.controls = 1, .entries = 2, .requestDeadline = std::chrono::milliseconds(3000)});
        system.startAll();
        for (const std::string &upstream : system.upstreamNames())
            system.upstreamControl(upstream, "/_fault",
                                   R"({"kind":"late","delay":"2s","count":1})");
        http_response first;
        std::jthread caller(
            [&] { first = requestNearby(system, "entry-1", "claim", makeRequest("keyed", "m")); });
        waitUntil("the request runs", [&] { return runsByMark(system).contains("m"); });
        system.kill("entry-1");
        caller.join();
        CPPUNIT_ASSERT_EQUAL(0, first.status);
        std::string outcome;
        waitUntil("the key's outcome is known to be unknown", [&] {
            outcome = requestNearby(system, "entry-2", "claim", makeRequest("keyed", "m"))
                          .header("buckthorn-outcome");
            CPPUNIT_ASSERT_MESSAGE(outcome, outcome == "in-progress" || outcome == "unknown");
            return outcome == "unknown";
        });
        CPPUNIT_ASSERT_EQUAL(1, runsByMark(system)["m"]);
    }

    void keyedOutcomeIsRepeated()
    {
        deployment system({.controls = 1, .entries = 2});
        system.startAll();
        const auto first = requestNearby(system, "entry-1", "claim", makeRequest("keyed", "m"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200, first.status);
        http_response second;
        waitUntil("the outcome is recorded", [&] {
            second = requestNearby(system, "entry-2", "claim", makeRequest("keyed", "m"));
            return second.header("buckthorn-outcome") == "recorded";
        });
        CPPUNIT_ASSERT_EQUAL(first.status, second.status);
        CPPUNIT_ASSERT_EQUAL(first.body, second.body);
        auto other = makeRequest("keyed", "m");
        other.body = "something else";
        const auto third = requestNearby(system, "entry-1", "claim", other);
        CPPUNIT_ASSERT_EQUAL(422, third.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), third.header("buckthorn-outcome"));
        CPPUNIT_ASSERT_EQUAL(1, runsByMark(system)["m"]);
    }

    // I2: three times the load that the slots can take, through several instances at a time.
    void upstreamsNeverGetMoreThanTheirSlots()
    {
        constexpr int slots = 2;
        constexpr int entries = 3;
        constexpr int callers = 3 * slots * 6;
        constexpr int requestsEach = 15;
        deployment system({.controls = 1,
                           .entries = entries,
                           .slots = slots,
                           .serviceTime = std::chrono::milliseconds(20)});
        system.startAll();
        std::vector<std::vector<sent_request>> sent(callers);
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] {
                for (int i = 0; i < requestsEach; ++i) {
                    const std::string mark = fmt::format("c{}-{}", caller, i);
                    sent[caller].push_back(
                        {"plain", mark,
                         requestNearby(system, fmt::format("entry-{}", caller % entries + 1),
                                       "lookup", makeRequest("plain", mark))});
                }
            });
        for (std::jthread &thread : threads)
            thread.join();
        int succeeded = 0;
        for (const auto &part : sent) {
            checkAgainstRecord(system, part);
            for (const sent_request &item : part) {
                const std::string outcome = item.response.header("buckthorn-outcome");
                CPPUNIT_ASSERT_MESSAGE(outcome, outcome == "ran" || outcome == "not-run");
                succeeded += outcome == "ran" ? 1 : 0;
                if (outcome == "not-run")
                    CPPUNIT_ASSERT(!item.response.header("retry-after").empty());
            }
        }
        CPPUNIT_ASSERT(succeeded > 0);
        for (const std::string &upstream : system.upstreamNames()) {
            const auto status = system.upstreamStatus(upstream);
            CPPUNIT_ASSERT_MESSAGE(upstream, status->getValue<int>("peak_offered") <= slots);
        }
    }

    void cancelsAndKeepsDeadlines()
    {
        deployment system({.controls = 1, .entries = 1});
        system.startAll();
        for (const std::string &upstream : system.upstreamNames())
            system.upstreamControl(upstream, "/_fault", R"({"kind":"hang"})");
        // A deadline of the caller's that is shorter than the service's.
        auto request = makeRequest("plain", "short");
        request.headers["Buckthorn-Deadline-Ms"] = "200";
        const auto late = requestNearby(system, "entry-1", "lookup", request);
        CPPUNIT_ASSERT_EQUAL(504, late.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), late.header("buckthorn-outcome"));
        request.headers["Buckthorn-Deadline-Ms"] = "0";
        const auto unsent = requestNearby(system, "entry-1", "lookup", request);
        CPPUNIT_ASSERT_EQUAL(504, unsent.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), unsent.header("buckthorn-outcome"));
        request.headers["Buckthorn-Deadline-Ms"] = "soon";
        CPPUNIT_ASSERT_EQUAL(400, requestNearby(system, "entry-1", "lookup", request).status);

        const auto cancelled = [&] {
            int sum = 0;
            for (const std::string &upstream : system.upstreamNames())
                sum += system.upstreamStatus(upstream)->getValue<int>("cancelled");
            return sum;
        };
        waitUntil("the late request has ended", [&] { return cancelled() == 1; });
        // A caller that leaves: its idempotent request is cancelled at the upstream.
        {
            Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(system.address("entry-1"))};
            http_connection connection(socket);
            connection.send("GET /svc/lookup/work HTTP/1.1\r\nHost: a\r\n"
                            "X-Request-Mark: left\r\n\r\n");
            waitUntil("it runs", [&] { return runsByMark(system).contains("left"); });
        }
        waitUntil("it is cancelled", [&] { return cancelled() == 2; });
    }

    void malformedRequestsReachNoUpstream()
    {
        deployment system({.controls = 1, .entries = 1});
        system.startAll();
        for (const std::string head :
             {"Content-Length: 1\r\nContent-Length: 2\r\n", "A: b\r\n c\r\n",
              "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"}) {
            Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(system.address("entry-1"))};
            http_connection connection(socket);
            connection.send("POST /svc/claim/x HTTP/1.1\r\nHost: a\r\n" + head + "\r\n0\r\n\r\n");
            Poco::Net::HTTPResponse response;
            CPPUNIT_ASSERT(connection.readHead(response));
            CPPUNIT_ASSERT_EQUAL(400, static_cast<int>(response.getStatus()));
        }
        CPPUNIT_ASSERT(system.records().empty());
        const http_response sound
            = requestNearby(system, "entry-1", "claim", makeRequest("plain", "sound"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.body + sound.failure, 200, sound.status);
    }

    void decisionsCanBeExplained()
    {
        deployment system({.controls = 1, .entries = 1});
        system.startAll();
        const auto response = requestNearby(system, "entry-1", "lookup", {.path = "/x"});
        const std::string id = response.header("buckthorn-decision");
        const auto explained = exchange(system.address("entry-1"), {.path = "/v1/explain/" + id});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(explained.body, 200, explained.status);
        CPPUNIT_ASSERT(explained.body.find("same-failure-domain") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            404, exchange(system.address("entry-1"), {.path = "/v1/explain/none-1"}).status);
        const auto lookup = system.lookup("entry-1", "lookup", "127.0.2.7");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lookup.body, 200, lookup.status);
        CPPUNIT_ASSERT_EQUAL(400, system.lookup("entry-1", "lookup", "nonsense").status);
        CPPUNIT_ASSERT_EQUAL(404, system.lookup("entry-1", "none").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_request_test);
