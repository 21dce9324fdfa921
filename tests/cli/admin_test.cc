#include "testing/free_port.h"
#include "tests/cli/cli_fixture.h"

#include <Poco/JSON/Object.h>

#include <mutex>

using namespace buckthorngrade;

namespace {

constexpr std::string_view profileYaml
    = "name: latency\nweights:\n  latency: 80%\n  headroom: 20%\n";

std::string jsonResponse(int status, const std::string &body)
{
    return formatAnswer(status, "Content-Type: application/json\r\n", body, false);
}

std::string statusBody(bool isLeader, const std::string &instances)
{
    return fmt::format(R"({{"replica":{{"id":1,"leader":1,"term":3,"commit":9,"applied":9,)"
                       R"("is_leader":{},"connected":true}},"revision":9,"instances":[{}]}})",
                       isLeader, instances);
}

std::string instanceJson(const std::string &name, const std::string &state, int revision,
                         const std::string &address = "127.0.0.1:1")
{
    return fmt::format(R"({{"name":"{}","state":"{}","revision":{},"address":"{}"}})", name, state,
                       revision, address);
}

} // namespace

class admin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admin_test);
    CPPUNIT_TEST(setFollowsRedirectsToTheLeader);
    CPPUNIT_TEST(setRetriesWithTheSameRequestId);
    CPPUNIT_TEST(setShowsTheCurrentVersionOnConflict);
    CPPUNIT_TEST(setRejectsAnInvalidProfileBeforeSending);
    CPPUNIT_TEST(setUsesTheBaseVersionFromGet);
    CPPUNIT_TEST(unreachableControlPrintsAdvice);
    CPPUNIT_TEST(waitNamesUnconfirmedInstances);
    CPPUNIT_TEST(waitEndsWhenTheLeaderReportsInForce);
    CPPUNIT_TEST(waitContinuesUntilTheLeaderConfirms);
    CPPUNIT_TEST(drainsAreAnnouncedListedAndCancelled);
    CPPUNIT_TEST(statusShowsUnreachableMembers);
    CPPUNIT_TEST(statusFindsTheLeaderThroughAFollower);
    CPPUNIT_TEST(explainAsksTheInstanceNamedInTheId);
    CPPUNIT_TEST(controlCharactersInResponsesAreNotPrinted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { writeWholeFile(profileFile(), std::string(profileYaml)); }

    // Guards against an edit that is lost because the first instance is unreachable and the second
    // one is a follower.
    void setFollowsRedirectsToTheLeader()
    {
        std::atomic<int> received = 0;
        const http_responder leader("127.0.0.1:0", [&](const auto &request, const auto &body) {
            ++received;
            CPPUNIT_ASSERT_EQUAL(std::string("PUT"), request.getMethod());
            CPPUNIT_ASSERT_EQUAL(std::string("/v1/profiles/latency?base_version=4"),
                                 request.getURI());
            CPPUNIT_ASSERT_EQUAL(std::string("anna"), request.get("Operator"));
            CPPUNIT_ASSERT_EQUAL(std::string("test"), request.get("Reason"));
            CPPUNIT_ASSERT_EQUAL(std::string(profileYaml), body);
            return jsonResponse(200, R"({"status":"accepted","version":5,"revision":12})");
        });
        const http_responder follower("127.0.0.1:0", [&](const auto &, const auto &) {
            return formatAnswer(421, "Leader: " + leader.address() + "\r\n", "", false);
        });
        const free_port unusedPort;
        const process_result result
            = set(unusedPort.address() + "," + follower.address(), {"--base_version=4"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.errors, int(exit_ok), result.code);
        CPPUNIT_ASSERT_EQUAL(1, received.load());
        CPPUNIT_ASSERT_EQUAL(std::string("accepted version=5 revision=12\n"), result.output);
    }

    // Guards against a retried edit that is applied twice because its request id changed.
    void setRetriesWithTheSameRequestId()
    {
        std::mutex mutex;
        std::vector<std::string> ids;
        const http_responder control("127.0.0.1:0", [&](const auto &request, const auto &) {
            const std::lock_guard lock(mutex);
            ids.push_back(request.get("Request-Id"));
            if (ids.size() == 1)
                return std::string(); // the response is lost
            if (ids.size() == 2)
                return formatAnswer(503, "", "no leader", false);
            if (ids.size() == 3)
                return formatAnswer(504, "", "unknown", false);
            return jsonResponse(
                200, R"({"status":"accepted","version":1,"revision":3,"repeated":true})");
        });
        const process_result result = set(control.address(), {"--base_version=0"});
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), result.code);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), ids.size());
        CPPUNIT_ASSERT(ids[0] == ids[1] && ids[1] == ids[2] && ids[2] == ids[3]);
        // EPOCHMS-RANDOM, shown to the operator before anything is sent.
        CPPUNIT_ASSERT_EQUAL(std::size_t(13), ids[0].find('-'));
        assertContains(result.errors, "request id " + ids[0]);
        assertContains(result.output, "earlier attempt");
        const process_result explicitIdResult
            = set(control.address(), {"--base_version=0", "--request_id=17-ab"});
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), explicitIdResult.code);
        CPPUNIT_ASSERT_EQUAL(std::string("17-ab"), ids.back());
    }

    void setShowsTheCurrentVersionOnConflict()
    {
        const http_responder control("127.0.0.1:0", [&](const auto &, const auto &) {
            return jsonResponse(
                409,
                R"({"status":"conflict","version":6,"revision":20,)"
                R"("message":"base 5 is not current","winner":{"version":6,)"
                R"("operator":"ben","request_id":"16-cd","time":"noon","reason":"r"}})");
        });
        const process_result result = set(control.address(), {"--base_version=5"});
        CPPUNIT_ASSERT_EQUAL(int(exit_rejected), result.code);
        assertContains(result.output, "version is 6 by ben at noon, request id 16-cd");
    }

    void setRejectsAnInvalidProfileBeforeSending()
    {
        std::atomic<int> received = 0;
        const http_responder control("127.0.0.1:0", [&](const auto &, const auto &) {
            ++received;
            return jsonResponse(200, "{}");
        });
        writeWholeFile(profileFile(), "name: latency\nweights:\n  latency: 80\n  headroom: 20%\n");
        const process_result result = set(control.address(), {"--base_version=0"});
        CPPUNIT_ASSERT_EQUAL(int(exit_rejected), result.code);
        assertContains(result.errors,
                       profileFile() + ": line 3: weights.latency: must be a percentage");
        CPPUNIT_ASSERT_EQUAL(0, received.load());
    }

    // Guards against a change that silently overwrites a version that its author never saw.
    void setUsesTheBaseVersionFromGet()
    {
        const http_responder control("127.0.0.1:0", [&](const auto &request, const auto &body) {
            if (request.getURI() == "/v1/profiles/latency")
                return formatAnswer(200, "Profile-Version: 7\r\nRevision: 30\r\n",
                                    std::string(profileYaml), false);
            if (request.getMethod() == "GET")
                return formatAnswer(404, "", "", false);
            CPPUNIT_ASSERT_EQUAL(std::string("/v1/profiles/latency?base_version=7"),
                                 request.getURI());
            CPPUNIT_ASSERT_EQUAL(std::string(profileYaml), body);
            return jsonResponse(200, R"({"status":"accepted","version":8,"revision":31})");
        });
        CPPUNIT_ASSERT_EQUAL(int(exit_usage), set(control.address(), {}).code);
        const process_result getResult
            = runCli({"profile", "get", "latency", "--control", control.address()});
        CPPUNIT_ASSERT_EQUAL("# base_version: 7\n" + std::string(profileYaml), getResult.output);
        writeWholeFile(profileFile(), getResult.output);
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), set(control.address(), {}).code);
        CPPUNIT_ASSERT_EQUAL(
            int(exit_not_found),
            runCli({"profile", "get", "other", "--control", control.address()}).code);
    }

    void unreachableControlPrintsAdvice()
    {
        const free_port unusedPort;
        const process_result result = set(
            unusedPort.address(), {"--base_version=0", "--request_id=5-x", "--timeout=300ms"});
        CPPUNIT_ASSERT_EQUAL(int(exit_unreachable), result.code);
        assertContains(result.errors, unusedPort.address());
        assertContains(result.errors, "What to do next");
        assertContains(result.errors, "--request_id=5-x");
    }

    void waitNamesUnconfirmedInstances()
    {
        const process_result result = setAndWait(
            {instanceJson("entry-1", "live", 12), instanceJson("entry-2", "suspected", 11),
             instanceJson("entry-3", "dead", 2), instanceJson("entry-4", "live", 13)},
            11, R"("entry-2","entry-4")");
        CPPUNIT_ASSERT_EQUAL(int(exit_unreachable), result.code);
        assertContains(result.output, "accepted");
        assertContains(result.errors,
                       "in force on 2 of 3 entry instances; missing: entry-2 (suspected)");
    }

    // Guards against a wait for instances that callers no longer use. The leader reports the
    // revision as in force although a suspected instance has not confirmed it.
    void waitEndsWhenTheLeaderReportsInForce()
    {
        const process_result result = setAndWait(
            {instanceJson("entry-1", "live", 12), instanceJson("entry-2", "suspected", 11)}, 12);
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), result.code);
    }

    // Guards against a wait that succeeds while the leader knows no entry instance or has not
    // reported the revision as in force.
    void waitContinuesUntilTheLeaderConfirms()
    {
        CPPUNIT_ASSERT_EQUAL(int(exit_unreachable), setAndWait({}, 12).code);
        const process_result result = setAndWait({instanceJson("entry-1", "live", 12)}, 11);
        CPPUNIT_ASSERT_EQUAL(int(exit_unreachable), result.code);
        assertContains(result.errors, "the leader has not confirmed it yet");
    }

    void drainsAreAnnouncedListedAndCancelled()
    {
        std::mutex mutex;
        std::string receivedRequests;
        const http_responder control("127.0.0.1:0", [&](const auto &request, const auto &body) {
            if (request.getMethod() == "GET")
                return jsonResponse(
                    200,
                    R"({"drains":[{"id":"d1","kind":"region","target":"wellington",)"
                    R"("start":"s","end":"","operator":"anna","reason":"work"}]})");
            const std::lock_guard lock(mutex);
            receivedRequests
                += fmt::format("{} {} {}\n", request.getMethod(), request.getURI(), body);
            return jsonResponse(
                200, R"({"status":"accepted","drain_id":"d1","version":0,"revision":4})");
        });
        const auto run = [&](std::vector<std::string> words) {
            words.insert(words.end(), {"--control", control.address()});
            return runCli(words);
        };
        const std::vector<std::string> author = {"--operator=anna", "--reason=work"};
        std::vector<std::string> announce
            = {"drain",   "announce", "region", "wellington", "--start=2026-12-04T07:00:00Z",
               "--for=2h"};
        announce.insert(announce.end(), author.begin(), author.end());
        CPPUNIT_ASSERT_EQUAL(std::string("accepted drain_id=d1 revision=4\n"),
                             run(announce).output);
        std::vector<std::string> cancel = {"drain", "cancel", "d1"};
        cancel.insert(cancel.end(), author.begin(), author.end());
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), run(cancel).code);
        CPPUNIT_ASSERT_EQUAL(std::string(R"(POST /v1/drains {"end":1796374800000,"kind":"region",)"
                                         R"("start":1796367600000,"target":"wellington"})"
                                         "\nDELETE /v1/drains/d1 \n"),
                             receivedRequests);
        assertContains(run({"drain", "list"}).output, "d1  region  wellington  s      -    anna");
        announce[2] = "planet";
        CPPUNIT_ASSERT_EQUAL(int(exit_usage), run(announce).code);
    }

    void statusShowsUnreachableMembers()
    {
        const http_responder control("127.0.0.1:0", [&](const auto &, const auto &) {
            return jsonResponse(200, statusBody(true, instanceJson("entry-1", "live", 9)));
        });
        const free_port unusedPort;
        const std::string addresses = unusedPort.address() + "," + control.address();
        const process_result table = runCli({"status", "--control", addresses});
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), table.code);
        assertContains(table.output, "no answer: ");
        assertContains(table.output, "leader");
        assertContains(table.output, "entry-1");
        assertContains(runCli({"status", "--control", addresses, "--output=json"}).output,
                       R"("reachable":false)");
        CPPUNIT_ASSERT_EQUAL(int(exit_unreachable),
                             runCli({"status", "--control", unusedPort.address()}).code);
    }

    // Guards against reporting no leader when --control names only a follower.
    void statusFindsTheLeaderThroughAFollower()
    {
        const http_responder leader("127.0.0.1:0", [&](const auto &, const auto &) {
            return jsonResponse(200, statusBody(true, instanceJson("entry-1", "live", 9)));
        });
        const http_responder follower("127.0.0.1:0", [&](const auto &, const auto &) {
            std::string body = statusBody(false, "");
            body.insert(1, fmt::format(R"("members":[{{"id":1,"http":"{}"}}],)", leader.address()));
            return jsonResponse(200, body);
        });
        const process_result table = runCli({"status", "--control", follower.address()});
        CPPUNIT_ASSERT_EQUAL(int(exit_ok), table.code);
        assertContains(table.output, "entry-1");
    }

    // Guards against asking instance "entry-1" for a decision of "entry-11".
    void explainAsksTheInstanceNamedInTheId()
    {
        const http_responder entry("127.0.0.1:0", [&](const auto &request, const auto &) {
            return request.getURI() == "/v1/explain/entry-11-5"
                ? jsonResponse(200, R"({"rule":"nearest","ruled_out":[{"name":"a"}]})")
                : formatAnswer(404, "", "", false);
        });
        const http_responder control("127.0.0.1:0", [&](const auto &, const auto &) {
            return jsonResponse(
                200,
                statusBody(true,
                           instanceJson("entry-1", "live", 9) + ","
                               + instanceJson("entry-11", "live", 9, entry.address())));
        });
        const process_result found
            = runCli({"explain", "entry-11-5", "--control", control.address()});
        CPPUNIT_ASSERT_EQUAL(std::string("rule: nearest\nruled_out[0].name: a\n"), found.output);
        CPPUNIT_ASSERT_EQUAL(
            int(exit_not_found),
            runCli({"explain", "entry-11-6", "--control", control.address()}).code);
        CPPUNIT_ASSERT_EQUAL(int(exit_not_found),
                             runCli({"explain", "entry-2-1", "--control", control.address()}).code);
    }

    // Guards against escape sequences in a name or reason that reach the operator's terminal.
    void controlCharactersInResponsesAreNotPrinted()
    {
        const http_responder control("127.0.0.1:0", [&](const auto &, const auto &) {
            return jsonResponse(200, R"({"profiles":[{"name":"a\u001b[2Jb","version":1}]})");
        });
        const process_result result = runCli({"profile", "list", "--control", control.address()});
        CPPUNIT_ASSERT_EQUAL(std::string::npos, result.output.find('\x1b'));
        assertContains(result.output, "a [2Jb");
    }

private:
    std::string profileFile() const { return (m_folder.path() / "profile.yaml").string(); }

    process_result set(const std::string &control,
                       const std::vector<std::string> &extraArguments) const
    {
        std::vector<std::string> words
            = {"profile", "set",        "latency", profileFile(),  "--control",
               control,   "--operator", "anna",    "--reason=test"};
        words.insert(words.end(), extraArguments.begin(), extraArguments.end());
        return runCli(words);
    }

    process_result setAndWait(const std::vector<std::string> &instances, int inForce,
                              const std::string &behind = "") const
    {
        const std::string status
            = fmt::format(R"({{"in_force_revision":{},"behind":[{}],)", inForce, behind)
            + statusBody(true, fmt::format("{}", fmt::join(instances, ","))).substr(1);
        const http_responder control("127.0.0.1:0", [&](const auto &request, const auto &) {
            return request.getMethod() == "GET"
                ? jsonResponse(200, status)
                : jsonResponse(200, R"({"status":"accepted","version":5,"revision":12})");
        });
        return set(control.address(), {"--base_version=4", "--wait", "--timeout=700ms"});
    }

    temp_folder m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_test);
