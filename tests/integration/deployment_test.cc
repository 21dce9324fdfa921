#include "testing/deployment.h"

#include "base/error.h"
#include "testing/wait.h"

#include <Poco/JSON/Array.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

using namespace buckthorngrade;

// Checks the helper for other integration tests, and the command line on real processes.
class deployment_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deployment_test);
    CPPUNIT_TEST(carriesRequestsAndRecordsThem);
    CPPUNIT_TEST(proxiesStandBetweenProcesses);
    CPPUNIT_TEST(commandLineWorksOnRealInstances);
    CPPUNIT_TEST(commandLineFollowsTheLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    void carriesRequestsAndRecordsThem()
    {
        deployment system({.controls = 1, .entries = 2});
        system.startAll();
        const http_response lookup = system.lookup("entry-1", "lookup");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lookup.body, 200, lookup.status);
        system.waitForSlots("entry-2");
        const http_response response = system.request("entry-2", "claim",
                                                      {.method = "POST",
                                                       .path = "/claims/1",
                                                       .headers = {{"X-Request-Mark", "m1"}},
                                                       .body = "claim"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("m1"), response.header("x-request-mark"));
        const auto records = system.records();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/claims/1"), records[0]->getValue<std::string>("path"));

        const http_response edit
            = system.putProfile("fast", 1, system.profileYaml("fast") + "max_retries: 1\n");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(edit.body, 200, edit.status);
        system.waitInForce(system.leaderStatus()->getValue<std::uint64_t>("revision"));
        CPPUNIT_ASSERT_EQUAL(200, system.announceDrain("upstream", "lookup-1").status);

        system.kill("entry-1");
        CPPUNIT_ASSERT_EQUAL(0, system.lookup("entry-1", "lookup").status);
        system.start("entry-1");
        system.waitReady("entry-1");
        CPPUNIT_ASSERT_EQUAL(0, system.stop("entry-2"));
        CPPUNIT_ASSERT_EQUAL(0, system.stop("lookup-1"));
    }

    // Guards against settings that lead around the proxies, which would make fault tests pass.
    void proxiesStandBetweenProcesses()
    {
        deployment system(
            {.controls = 1, .entries = 1, .proxyControls = true, .proxyUpstreams = true});
        system.startAll();
        CPPUNIT_ASSERT(system.link("entry-1", "control-1").read().accepted > 0);
        system.waitForSlots("entry-1");
        CPPUNIT_ASSERT_EQUAL(200, system.request("entry-1", "lookup", {.path = "/a"}).status);
        std::uint64_t carried = 0;
        for (const std::string &upstream : system.upstreamNames())
            carried += system.link("entry-1", upstream).read().bytes[fault_proxy::to_target];
        CPPUNIT_ASSERT(carried > 0);
        system.isolate({"control-1"});
        waitUntil("entry-1 notices", [&] {
            return exchange(system.address("entry-1"), {.path = "/readyz"}).status == 503;
        });
        system.healLinks();
        system.waitReady("entry-1");
        CPPUNIT_ASSERT_THROW(system.link("entry-1", "entry-1"), error);
    }

    void commandLineWorksOnRealInstances()
    {
        deployment system({.controls = 1, .entries = 2});
        system.startAll();
        const auto run
            = [&](const std::vector<std::string> &words) { return runCli(system, words); };
        const std::vector<std::string> author = {"--operator=anna", "--reason=test"};
        const auto edit = [&](std::vector<std::string> words) {
            words.insert(words.end(), author.begin(), author.end());
            return run(words);
        };
        const auto expect = [](int code, const std::string &part, const process_result &result) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, code, result.code);
            CPPUNIT_ASSERT_MESSAGE(result.output + result.errors,
                                   result.output.find(part) != std::string::npos);
        };
        expect(0, "ok", run({"check"}));
        expect(0, "entry-2", run({"status"}));
        expect(0, "roomy", run({"profile", "list"}));
        const process_result got = run({"profile", "get", "fast"});
        const std::string file = system.folder() / "edited.yaml";
        writeWholeFile(file, got.output + "max_retries: 1\n");
        expect(0, "accepted version=2", edit({"profile", "set", "fast", file, "--wait"}));
        expect(1, "conflict", edit({"profile", "set", "fast", file}));
        expect(0, "anna", run({"profile", "history", "fast"}));
        const process_result drained
            = edit({"drain", "announce", "upstream", "lookup-1", "--for=1h", "--wait"});
        expect(0, "accepted drain_id=", drained);
        expect(0, "lookup-1", run({"drain", "list"}));
        const auto start = drained.output.find('=') + 1;
        const std::string id
            = drained.output.substr(start, drained.output.find(' ', start) - start);
        expect(0, "accepted", edit({"drain", "cancel", id}));
        expect(4, "", edit({"drain", "cancel", "no-such-drain"}));
        expect(4, "", run({"profile", "get", "none"}));
        expect(0, "entries[0].address: ", run({"lookup", "lookup"}));
        const http_response carried = system.request("entry-2", "lookup", {.path = "/a"});
        expect(0, "rule: ", run({"explain", carried.header("buckthorn-decision")}));
    }

    // Guards against an edit that is lost, or reported as in force too early, because the leader
    // died or was silently cut off.
    void commandLineFollowsTheLeader()
    {
        deployment system({.controls = 3, .entries = 2, .proxyControls = true});
        system.startAll();
        const std::string file = system.folder() / "edited.yaml";
        const auto edit = [&](int baseVersion) {
            writeWholeFile(
                file, fmt::format("{}queue_length: {}\n", system.profileYaml("fast"), baseVersion));
            const process_result result
                = runCli(system,
                         {"profile", "set", "fast", file, "--operator=anna", "--reason=test",
                          fmt::format("--base_version={}", baseVersion), "--wait"});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, 0, result.code);
        };
        const std::string first = system.leader();
        system.kill(first);
        edit(1);
        system.start(first);
        system.waitForLeader();
        const std::string second = system.leader();
        system.isolate({second});
        waitUntil("another instance leads", [&] {
            const std::string now = system.leader();
            return !now.empty() && now != second;
        });
        edit(2);
        system.healLinks();
        waitUntil("all control instances have both changes", [&] {
            const auto names = system.controlNames();
            return std::ranges::all_of(names, [&](const std::string &name) {
                return exchange(system.address(name), {.path = "/v1/profiles/fast"})
                           .header("profile-version")
                    == "3";
            });
        });
    }

private:
    static process_result runCli(const deployment &system, std::vector<std::string> words)
    {
        words.push_back("--config=" + system.settingsFile("control-1").string());
        return runProcess(std::string(BG_BINARY_DIR) + "/buckthorngrade", words,
                          std::chrono::minutes(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deployment_test);
