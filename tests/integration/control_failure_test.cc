#include "testing/deployment.h"

#include "base/error.h"
#include "link.grpc.pb.h"
#include "testing/wait.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

using object_ptr = Poco::JSON::Object::Ptr;

object_ptr parse(const std::string &body)
{
    return Poco::JSON::Parser().parse(body).extract<object_ptr>();
}

// Control instances without entry instances and upstreams.
class control_group
{
public:
    explicit control_group(bool proxyControls = false)
        : m_system({.controls = 3, .entries = 1, .proxyControls = proxyControls})
    {
        for (const std::string &name : m_system.controlNames())
            m_system.start(name);
        m_system.waitForLeader();
    }

    deployment &system() { return m_system; }

    static std::string text(const std::string &profile, int retries, std::size_t padding = 0)
    {
        return fmt::format("name: {}\nweights:\n  latency: 50%\n  headroom: 50%\n"
                           "max_retries: {}\n# {}\n",
                           profile, retries, std::string(padding, 'x'));
    }

    static std::string newId()
    {
        static std::atomic<int> counter = 0;
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        return fmt::format("{}-control{}", now.count(), ++counter);
    }

    static http_request editOf(const std::string &profile, std::uint64_t base,
                               const std::string &yaml, const std::string &id,
                               const std::string &operatorName = "anna")
    {
        return {.method = "PUT",
                .path = fmt::format("/v1/profiles/{}?base_version={}", profile, base),
                .headers = {{"Request-Id", id}, {"Operator", operatorName}, {"Reason", "test"}},
                .body = yaml,
                .timeout = 10s};
    }

    // Makes one accepted change of `profile` and remembers it. Returns its answer.
    object_ptr change(const std::string &profile)
    {
        const std::string id = newId();
        const std::uint64_t base = m_versions[profile];
        const http_response answer
            = m_system.admin(editOf(profile, base, text(profile, static_cast<int>(base % 5)), id));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body + answer.failure, 200, answer.status);
        object_ptr outcome = parse(answer.body);
        accepted(profile, id, outcome);
        return outcome;
    }

    void accepted(const std::string &profile, const std::string &id, const object_ptr &outcome)
    {
        m_versions[profile] = outcome->getValue<std::uint64_t>("version");
        m_revision = std::max(m_revision, outcome->getValue<std::uint64_t>("revision"));
        m_ids[profile].push_back(id);
    }

    object_ptr status(const std::string &name) const
    {
        const http_response answer
            = exchange(m_system.address(name), {.path = "/v1/status", .timeout = 2s});
        return answer.status == 200 ? parse(answer.body) : nullptr;
    }

    std::uint64_t revisionOf(const std::string &name) const
    {
        const object_ptr found = status(name);
        return found ? found->getValue<std::uint64_t>("revision") : 0;
    }

    void waitForRevision(const std::string &name, std::uint64_t revision) const
    {
        waitUntil(fmt::format("{} is at revision {}", name, revision),
                  [&] { return revisionOf(name) >= revision; });
    }

    // Every accepted change is on every running instance, once and in order.
    void verify()
    {
        for (const std::string &name : m_system.controlNames()) {
            if (!m_system.find(name))
                continue;
            waitForRevision(name, m_revision);
            for (const auto &[profile, ids] : m_ids) {
                const http_response answer
                    = exchange(m_system.address(name),
                               {.path = fmt::format("/v1/profiles/{}/history", profile)});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
                const auto versions = parse(answer.body)->getArray("versions");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} {}", name, profile), ids.size(),
                                             versions->size());
                for (std::size_t i = 0; i < ids.size(); ++i) {
                    const auto version = versions->getObject(static_cast<unsigned>(i));
                    CPPUNIT_ASSERT_EQUAL(ids[i], version->getValue<std::string>("request_id"));
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t(i + 1),
                                         version->getValue<std::uint64_t>("version"));
                }
            }
        }
    }

    std::string followerOf(const std::string &leader) const
    {
        const auto names = m_system.controlNames();
        return *std::ranges::find_if(names, [&](const auto &name) { return name != leader; });
    }

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t versionOf(const std::string &profile) { return m_versions[profile]; }

private:
    deployment m_system;
    std::map<std::string, std::uint64_t> m_versions;
    std::map<std::string, std::vector<std::string>> m_ids;
    std::uint64_t m_revision = 0;
};

// Watches that no instance's revision goes back while its process runs.
class revision_watch
{
public:
    explicit revision_watch(const control_group &group, std::vector<std::string> names)
        : m_thread([this, &group, names = std::move(names)] {
            std::map<std::string, std::uint64_t> last;
            while (!m_stopping) {
                for (const std::string &name : names) {
                    const std::uint64_t now = group.revisionOf(name);
                    if (now != 0 && now < last[name])
                        m_wentBack = true;
                    last[name] = std::max(last[name], now);
                }
            }
        })
    { }
    ~revision_watch()
    {
        m_stopping = true;
        m_thread.join();
    }
    bool wentBack() const { return m_wentBack; }

private:
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_wentBack = false;
    std::thread m_thread;
};

} // namespace

class control_failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_failure_test);
    CPPUNIT_TEST(leaderKilledBetweenAppendAndAnswer);
    CPPUNIT_TEST(leaderKilledAtAnyMoment);
    CPPUNIT_TEST(pausedLeaderConfirmsNothingOld);
    CPPUNIT_TEST(oneWayPartitions);
    CPPUNIT_TEST(emptiedFolderThenSecondKill);
    CPPUNIT_TEST(restartAfter500Changes);
    CPPUNIT_TEST(operatorsRace);
    CPPUNIT_TEST(damagedFolderIsRefused);
    CPPUNIT_TEST(rejectsMalformedRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an edit that is applied twice, or lost, when its answer is lost.
    void leaderKilledBetweenAppendAndAnswer()
    {
        control_group group(true);
        deployment &system = group.system();
        group.change("fast");
        const std::string leader = system.leader();
        std::vector<std::string> followers = system.controlNames();
        std::erase(followers, leader);
        // Acknowledgements don't reach the leader, so the edit is in all logs but not committed.
        std::map<std::string, std::uint64_t> before;
        for (const std::string &name : followers) {
            system.link(name, leader).partition(true, true);
            before[name] = system.link(leader, name).read().bytes[fault_proxy::to_target];
        }
        constexpr std::size_t padding = 30'000; // more than heartbeats send until the kill
        const std::string id = control_group::newId();
        const http_request edit
            = control_group::editOf("fast", 1, control_group::text("fast", 3, padding), id);
        const std::string address = system.address(leader);
        auto first = std::async(std::launch::async, [&] { return exchange(address, edit); });
        waitUntil("the followers got the edit", [&] {
            return std::ranges::all_of(followers, [&](const std::string &name) {
                return system.link(leader, name).read().bytes[fault_proxy::to_target]
                    >= before[name] + padding;
            });
        });
        system.kill(leader);
        CPPUNIT_ASSERT(first.get().status != 200);
        system.healLinks();
        // The resend, through instances that were not asked before.
        const http_response again = system.admin(edit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body + again.failure, 200, again.status);
        CPPUNIT_ASSERT(parse(again.body)->getValue<bool>("repeated"));
        group.accepted("fast", id, parse(again.body));
        system.start(leader);
        group.change("fast");
        group.verify();
    }

    // The same with kills at moments that are spread over the commit.
    void leaderKilledAtAnyMoment()
    {
        control_group group;
        deployment &system = group.system();
        group.change("fast");
        for (int round = 0; round < 8; ++round) {
            const std::string leader = system.leader();
            const std::string id = control_group::newId();
            const http_request edit = control_group::editOf(
                "fast", group.versionOf("fast"), control_group::text("fast", round % 5), id);
            const std::string address = system.address(leader);
            auto first = std::async(std::launch::async, [&] { return exchange(address, edit); });
            std::this_thread::sleep_for(
                std::chrono::microseconds(400 * round)); // moment of the kill
            system.kill(leader);
            const http_response answer = first.get();
            const http_response again = system.admin(edit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body + again.failure, 200, again.status);
            if (answer.status == 200)
                CPPUNIT_ASSERT(parse(again.body)->getValue<bool>("repeated"));
            group.accepted("fast", id, parse(again.body));
            system.start(leader);
            system.waitForLeader();
        }
        group.verify();
    }

    // Guards against an instance that was stopped for a while and vouches for what it knew before.
    void pausedLeaderConfirmsNothingOld()
    {
        control_group group(true);
        deployment &system = group.system();
        group.change("fast");
        const std::string old = system.leader();
        const auto channel = grpc::CreateChannel(system.link("entry-1", old).address(),
                                                 grpc::InsecureChannelCredentials());
        const auto stub = wire::instance_link::NewStub(channel);
        CPPUNIT_ASSERT(channel->WaitForConnected(std::chrono::system_clock::now() + 10s));
        system.pause(old);
        waitUntil("another leader", [&] {
            const std::string now = system.leader();
            return !now.empty() && now != old;
        });
        const object_ptr outcome = group.change("fast");
        const auto committed = std::chrono::steady_clock::now();
        const auto newest = outcome->getValue<std::uint64_t>("revision");
        system.resume(old);
        std::uint64_t answers = 0;
        waitUntil("the old leader has the new revision", [&] {
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + 5s);
            wire::probe_request request;
            request.set_cluster(readCluster(system));
            wire::probe_reply reply;
            const auto sent = std::chrono::steady_clock::now();
            if (stub->Probe(&context, request, &reply).ok() && reply.confirmed()) {
                ++answers;
                const auto confirmedAt = sent - std::chrono::milliseconds(reply.confirmed_age_ms());
                CPPUNIT_ASSERT_MESSAGE(fmt::format("confirmed revision {} after {} was accepted",
                                                   reply.confirmed_revision(), newest),
                                       reply.confirmed_revision() >= newest
                                           || confirmedAt <= committed);
            }
            const object_ptr status = group.status(old);
            if (status && status->getValue<std::uint64_t>("revision") < newest)
                CPPUNIT_ASSERT(!status->getObject("replica")->getValue<bool>("is_leader")
                               || !status->getObject("replica")->getValue<bool>("connected"));
            return status && status->getValue<std::uint64_t>("revision") >= newest
                && reply.confirmed_revision() >= newest;
        });
        CPPUNIT_ASSERT(answers > 0);
        group.verify();
    }

    // A leader that only sends, or only receives, must be replaced, and accepts nothing meanwhile
    // that is lost later.
    void oneWayPartitions()
    {
        control_group group(true);
        deployment &system = group.system();
        const revision_watch watch(group, system.controlNames());
        for (const bool leaderSends : {true, false}) {
            group.change("fast");
            const std::string leader = system.leader();
            for (const std::string &name : system.controlNames()) {
                if (name == leader)
                    continue;
                if (leaderSends)
                    system.link(name, leader).partition(true, true);
                else
                    system.link(leader, name).partition(true, true);
            }
            waitUntil("another leader", [&] {
                const std::string now = system.leader();
                return !now.empty() && now != leader;
            });
            group.change("fast");
            system.healLinks();
            group.change("roomy");
            group.verify();
        }
        CPPUNIT_ASSERT(!watch.wentBack());
    }

    // Guards against a repaired instance that counts as a voter before it has everything.
    void emptiedFolderThenSecondKill()
    {
        control_group group;
        deployment &system = group.system();
        for (int i = 0; i < 20; ++i)
            group.change("fast");
        const std::string repaired = group.followerOf(system.leader());
        std::string before = incarnationOf(system, repaired);
        system.kill(repaired);
        empty(system, repaired);
        system.start(repaired);
        waitForNewVoter(system, repaired, before);
        group.change("fast");
        const std::string second = system.leader();
        system.kill(second);
        system.waitForLeader();
        group.change("fast");
        system.start(second);
        group.verify();

        // Again, with the second loss right after the restart: with one voter left, nothing may be
        // accepted until it is back, and nothing may be lost.
        const std::string leader = system.leader();
        before = incarnationOf(system, repaired);
        system.kill(repaired);
        empty(system, repaired);
        const auto names = system.controlNames();
        const std::string third = *std::ranges::find_if(
            names, [&](const auto &name) { return name != leader && name != repaired; });
        system.kill(third);
        system.start(repaired);
        const http_response refused = exchange(
            system.address(leader),
            control_group::editOf("fast", group.versionOf("fast"), control_group::text("fast", 1),
                                  control_group::newId()));
        CPPUNIT_ASSERT_MESSAGE(refused.body, refused.status != 200);
        system.start(third);
        system.waitForLeader();
        waitForNewVoter(system, repaired, before);
        // The edit that was refused as unknown may have been committed; it keeps its version.
        const object_ptr status = group.status(system.leader());
        CPPUNIT_ASSERT(status->getValue<std::uint64_t>("revision") >= group.revision());
        for (const std::string &name : names)
            group.waitForRevision(name, group.revision());
    }

    void restartAfter500Changes()
    {
        control_group group;
        deployment &system = group.system();
        group.change("fast");
        const std::string away = group.followerOf(system.leader());
        system.kill(away);
        for (int i = 0; i < 500; ++i)
            group.change(i % 2 == 0 ? "fast" : "roomy");
        system.start(away);
        group.verify();
        // All at a time: the accepted state comes back from the disks.
        for (const std::string &name : system.controlNames())
            system.kill(name);
        for (const std::string &name : system.controlNames())
            system.start(name);
        system.waitForLeader();
        group.verify();
        group.change("fast");
        group.verify();
    }

    void operatorsRace()
    {
        control_group group;
        deployment &system = group.system();
        group.change("fast");
        for (int round = 0; round < 20; ++round) {
            const std::uint64_t base = group.versionOf("fast");
            std::vector<std::string> ids;
            std::vector<std::future<http_response>> answers;
            for (const std::string operatorName : {"anna", "ben"}) {
                ids.push_back(control_group::newId());
                const http_request edit = control_group::editOf(
                    "fast", base, control_group::text("fast", round % 5), ids.back(), operatorName);
                answers.push_back(
                    std::async(std::launch::async, [&system, edit] { return system.admin(edit); }));
            }
            std::vector<http_response> got(answers.size());
            std::ranges::transform(answers, got.begin(), [](auto &answer) { return answer.get(); });
            const std::size_t winner = got[0].status == 200 ? 0 : 1;
            const http_response &lost = got[1 - winner];
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got[winner].body, 200, got[winner].status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.body, 409, lost.status);
            const object_ptr seen = parse(lost.body)->getObject("winner");
            CPPUNIT_ASSERT_EQUAL(ids[winner], seen->getValue<std::string>("request_id"));
            CPPUNIT_ASSERT_EQUAL(std::string(winner == 0 ? "anna" : "ben"),
                                 seen->getValue<std::string>("operator"));
            group.accepted("fast", ids[winner], parse(got[winner].body));
        }
        group.verify();
    }

    // Guards against a start from a log that was changed on disk.
    void damagedFolderIsRefused()
    {
        control_group group;
        deployment &system = group.system();
        for (int i = 0; i < 10; ++i)
            group.change("fast");
        const std::string name = group.followerOf(system.leader());
        const std::string before = incarnationOf(system, name);
        CPPUNIT_ASSERT_EQUAL(0, system.stop(name));
        std::filesystem::path largest;
        std::uintmax_t bytes = 0;
        for (const auto &entry :
             std::filesystem::recursive_directory_iterator(dataFolder(system, name)))
            if (entry.is_regular_file() && entry.file_size() > bytes) {
                bytes = entry.file_size();
                largest = entry.path();
            }
        std::string content = readWholeFile(largest);
        content[content.find("max_retries")] ^= 1;
        writeWholeFile(largest, content);
        CPPUNIT_ASSERT_THROW(system.start(name), error);
        CPPUNIT_ASSERT(system.log(name).find("data_folder_corrupt") != std::string::npos);
        empty(system, name);
        system.start(name);
        waitForNewVoter(system, name, before);
        group.verify();
    }

    void rejectsMalformedRequests()
    {
        control_group group;
        deployment &system = group.system();
        const std::string address = system.address(system.leader());
        const auto edit = [&] {
            return control_group::editOf("fast", 0, control_group::text("fast", 1),
                                         control_group::newId());
        };
        const auto expect = [&](int status, const std::string &part, const http_request &request) {
            const http_response answer = exchange(address, request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body + answer.failure, status, answer.status);
            CPPUNIT_ASSERT_MESSAGE(answer.body, answer.body.find(part) != std::string::npos);
        };
        http_request request = edit();
        request.headers["Request_Id"] = "1";
        expect(400, "unknown header", request);
        request = edit();
        request.headers["request-ID"] = "1-2";
        expect(400, "repeated", request);
        request = edit();
        request.headers.erase("Request-Id");
        expect(400, "missing", request);
        request = edit();
        request.headers["Operator"] = std::string(2'000, 'o');
        expect(400, "longer", request);
        request = edit();
        request.path += "&base_version=1";
        expect(400, "repeated", request);
        request = edit();
        request.path += "&wait=1";
        expect(400, "unknown parameter", request);
        request = edit();
        request.body = std::string(200'000, '#');
        expect(413, "larger", request);
        request = edit();
        request.path = "/v1/profiles/" + std::string(100, 'p') + "?base_version=0";
        expect(400, "longer", request);
        request = edit();
        request.method = "POST";
        expect(405, "GET, PUT", request);
        request = edit();
        request.method = "POST";
        request.path = "/v1/drains";
        request.body = R"({"kind":"region","target":"r1","kind":"entry"})";
        expect(400, "repeated", request);
        request.body = R"({"kind":"region","target":"r1","until":1})";
        expect(400, "unknown key", request);
        request.body = R"([1])";
        expect(400, "object", request);
        request.body = R"({"kind":"region","target":"r1","start":"tomorrow"})";
        expect(400, "time in UTC", request);
        request.path = "/v1/members/replace";
        request.body = R"({"old":1,"new":"x"})";
        expect(400, "replica id", request);
        request.body = R"({"old":1,"new":9})";
        expect(409, "", request);
        request.path = "/v1/instances/none/remove";
        request.body.clear();
        expect(404, "no instance", request);
        expect(200, "accepted", edit()); // the server is still fine
    }

private:
    static std::string readCluster(const deployment &system)
    {
        const std::string text = readWholeFile(system.folder() / "deployment-control-1.yaml");
        const auto start = text.find("cluster:") + 8;
        std::string word = text.substr(start, text.find('\n', start) - start);
        std::erase(word, ' ');
        return word;
    }

    static std::filesystem::path dataFolder(const deployment &system, const std::string &name)
    {
        return system.folder() / ("data-" + name);
    }

    // The folder itself stays, so that the next start is a repair.
    static void empty(const deployment &system, const std::string &name)
    {
        for (const auto &entry : std::filesystem::directory_iterator(dataFolder(system, name)))
            std::filesystem::remove_all(entry.path());
    }

    // The member as the leader sees it; null if there is no leader.
    static object_ptr memberOf(const deployment &system, const std::string &name)
    {
        const object_ptr status = system.leaderStatus();
        const auto members = status ? status->getArray("members") : nullptr;
        const std::string id = name.substr(name.find('-') + 1);
        for (std::size_t i = 0; members && i < members->size(); ++i) {
            auto member = members->getObject(static_cast<unsigned>(i));
            if (member->getValue<std::string>("id") == id)
                return member;
        }
        return nullptr;
    }

    static std::string incarnationOf(const deployment &system, const std::string &name)
    {
        const object_ptr member = memberOf(system, name);
        return member ? member->optValue<std::string>("incarnation", "") : "";
    }

    // Until the process with the new data folder votes; the old one stays a voter for a while.
    static void waitForNewVoter(const deployment &system, const std::string &name,
                                const std::string &before)
    {
        waitUntil(name + " votes again", [&] {
            const object_ptr member = memberOf(system, name);
            return member && member->getValue<std::string>("role") == "voter"
                && member->optValue("recently_heard", false)
                && member->getValue<std::string>("incarnation") != before;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_failure_test);
