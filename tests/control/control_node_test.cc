#include "control/control_node.h"
#include "testing/free_port.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <fmt/format.h>

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Decodes routing documents of the form "VERSION ..."; those that end in "invalid" are rejected
// unless the codec plays an earlier release that did not check for it.
class number_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view text) const override
    {
        routing_document result;
        result.version = std::stoull(std::string(text));
        if (text.ends_with("invalid") && !acceptsInvalid)
            throw settings_error("invalid");
        return result;
    }
    routing_document decodeNew(std::string_view text) const override { return decode(text); }

    std::atomic<bool> acceptsInvalid = false;
};

// A list of 100 upstreams that all readers share.
class common_list final : public listing_source
{
public:
    void read(const std::vector<std::string> &, const page_handler &onPage) override
    {
        upstream_listing list;
        list.readAt = std::chrono::steady_clock::now();
        for (int i = 0; i < 100; ++i)
            list.upstreams.push_back({fmt::format("u{:03}", i), "s", "1.2.3.4:5", "d", 1,
                                      i == drainingUpstream, 0ms, 0});
        onPage(list);
    }

    std::atomic<int> drainingUpstream = -1; // -1: none
};

// A deployment of control instances at the addresses 127.0.1.N, all with the same port.
class control_group
{
public:
    explicit control_group(std::vector<int> seeds)
        : m_seeds(std::move(seeds))
    { }

    static std::string hostOf(int number) { return fmt::format("127.0.1.{}", number); }

    void start(int number, bool isFirstStart)
    {
        node_settings settings;
        settings.name = fmt::format("control-{}", number);
        settings.host = hostOf(number);
        settings.firstInternalPort = m_port.number();
        for (const int seed : m_seeds)
            settings.seedHosts.push_back(hostOf(seed));
        settings.isFirstStart = isFirstStart;
        settings.dataFolder = folderOf(number);
        std::filesystem::create_directories(settings.dataFolder);
        m_nodes[number]
            = std::make_unique<control_node>(settings, m_codec, m_list, m_clock, m_events,
                                             m_metrics[number], [](const std::string &) {});
    }
    void stop(int number) { m_nodes.erase(number); }
    void deleteFolder(int number) { std::filesystem::remove_all(folderOf(number)); }
    void setSeeds(std::vector<int> seeds) { m_seeds = std::move(seeds); }

    // Sends a routing change to each instance in turn until one accepts it, as an operator does.
    void put(const std::string &text)
    {
        waitUntil("an instance accepts " + text, [&] {
            return std::ranges::any_of(m_nodes, [&](const auto &item) {
                return item.second->routing().putRouting(text).outcome
                    == routing_result::status::accepted;
            });
        });
    }
    std::string read()
    {
        std::string result;
        waitUntil("an instance answers a read", [&] {
            return std::ranges::any_of(m_nodes, [&](const auto &item) {
                const routing_read_result read = item.second->routing().read();
                result = read.text;
                return read.outcome == routing_result::status::accepted;
            });
        });
        return result;
    }
    bool areVoters(const std::vector<int> &numbers)
    {
        return std::ranges::all_of(numbers,
                                   [&](int number) { return m_nodes.at(number)->view().isVoter; });
    }
    int leaders() const
    {
        return static_cast<int>(std::ranges::count_if(
            m_nodes, [](const auto &item) { return item.second->view().isLeader; }));
    }
    control_node &node(int number) { return *m_nodes.at(number); }
    common_list &list() { return m_list; }
    number_codec &codec() { return m_codec; }
    // Sends the report of an entry instance to a control instance.
    wire::node_view sync(int number, const wire::node_report &report) const
    {
        const auto channel
            = grpc::CreateChannel(fmt::format("{}:{}", hostOf(number), m_port.number()),
                                  grpc::InsecureChannelCredentials());
        const auto stub = wire::node_link::NewStub(channel);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + 30s);
        context.set_wait_for_ready(true);
        wire::node_view view;
        CPPUNIT_ASSERT(stub->Sync(&context, report, &view).ok());
        return view;
    }

private:
    std::filesystem::path folderOf(int number) const
    {
        return m_folder.path() / std::to_string(number);
    }

    std::vector<int> m_seeds;
    free_port m_port;
    temp_folder m_folder;
    number_codec m_codec;
    common_list m_list;
    system_clock_source m_clock;
    null_event_log m_events;
    std::map<int, metric_registry> m_metrics;
    std::map<int, std::unique_ptr<control_node>> m_nodes;
};

} // namespace

class control_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_node_test);
    CPPUNIT_TEST(formsOneGroupFromSeeds);
    CPPUNIT_TEST(allOfNineFailureDomainsVote);
    CPPUNIT_TEST(instanceWithEmptyFolderRejoinsWithoutDataLoss);
    CPPUNIT_TEST(replacedInstancesDoNotStopTheGroup);
    CPPUNIT_TEST(joinsThroughSeedsThatDoNotLead);
    CPPUNIT_TEST(routingChangesReportTheirOutcome);
    CPPUNIT_TEST(documentOfEarlierReleaseStaysInForce);
    CPPUNIT_TEST(rejectedDocumentChangesNoInstance);
    CPPUNIT_TEST(firstRoutingVersionMayBeZero);
    CPPUNIT_TEST(allInstancesSendTheSameVersionsOfTheList);
    CPPUNIT_TEST(partsThatAreNotWantedAreOmitted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that are not seeds and form a separate group.
    void formsOneGroupFromSeeds()
    {
        control_group all({1, 2, 3});
        for (const int number : {5, 4, 3, 2, 1})
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters({1, 2, 3, 4, 5}); });
        waitUntil("one leads", [&] { return all.leaders() == 1; });
        all.put("7");
        // Two of the five instances stop; the remaining three are a quorum.
        all.stop(1);
        all.stop(2);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), all.read());
        all.put("9");
        CPPUNIT_ASSERT_EQUAL(std::string("9"), all.read());
    }

    // Guards against control instances that stay outside the group: they refuse routing changes,
    // have no entry instances in their table, and a majority of the machines is not a majority of
    // the voters.
    void allOfNineFailureDomainsVote()
    {
        control_group all({1, 2, 3});
        const std::vector<int> numbers{1, 2, 3, 4, 5, 6, 7, 8, 9};
        for (const int number : numbers)
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters(numbers); });
        all.put("7");
        for (const int lost : {1, 4, 5, 9})
            all.stop(lost);
        all.put("8");
        CPPUNIT_ASSERT_EQUAL(std::string("8"), all.read());
    }

    void instanceWithEmptyFolderRejoinsWithoutDataLoss()
    {
        control_group all({1, 2, 3});
        for (const int number : {1, 2, 3})
            all.start(number, true);
        all.put("3");
        for (const int lost : {1, 2, 3}) {
            all.stop(lost);
            all.deleteFolder(lost);
            all.start(lost, false);
            waitUntil("it has a vote again", [&] { return all.areVoters({lost}); });
            CPPUNIT_ASSERT_EQUAL(std::string("3"), all.read());
        }
    }

    // Guards against a group without a majority after most of its machines were replaced, one at a
    // time, by empty ones at other addresses (review case 1).
    void replacedInstancesDoNotStopTheGroup()
    {
        control_group all({1, 2, 3});
        for (const int number : {1, 2, 3, 4, 5})
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters({1, 2, 3, 4, 5}); });
        all.put("7");
        std::vector<int> present{1, 2, 3, 4, 5};
        for (const int lost : {1, 2, 3, 4}) {
            const int successor = lost + 5;
            all.stop(lost);
            std::ranges::replace(present, lost, successor);
            all.setSeeds({present.begin(), present.begin() + 3});
            all.start(successor, false);
            waitUntil("the successor has a vote", [&] { return all.areVoters({successor}); });
            CPPUNIT_ASSERT_EQUAL(std::string("7"), all.read());
        }
        all.put("8");
        CPPUNIT_ASSERT_EQUAL(std::string("8"), all.read());
    }

    // Guards against an instance that is never added because all its seeds are followers.
    void joinsThroughSeedsThatDoNotLead()
    {
        control_group all({1, 2, 3});
        for (const int number : {1, 2, 3})
            all.start(number, true);
        waitUntil("one leads", [&] { return all.leaders() == 1; });
        int follower = 1;
        while (all.node(follower).view().isLeader)
            ++follower;
        all.setSeeds({follower});
        all.start(4, false);
        waitUntil("it has a vote", [&] { return all.areVoters({4}); });
    }

    void routingChangesReportTheirOutcome()
    {
        using status = routing_result::status;
        control_group all({1});
        all.start(1, true);
        all.put("5");
        routing_service &routing = all.node(1).routing();
        CPPUNIT_ASSERT(routing.putRouting("8 invalid").outcome == status::invalid);
        // Older and equal versions are acknowledged and change nothing.
        CPPUNIT_ASSERT(routing.putRouting("4").outcome == status::accepted);
        CPPUNIT_ASSERT(routing.putRouting("5 other").outcome == status::accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("5"), all.read());
        CPPUNIT_ASSERT(routing.evacuate("d", true).outcome == status::accepted);
        const std::uint64_t revision = all.node(1).state().evacuated().revision;
        CPPUNIT_ASSERT(routing.evacuate("d", true).outcome == status::accepted);
        CPPUNIT_ASSERT_EQUAL(revision, all.node(1).state().evacuated().revision);
        CPPUNIT_ASSERT(routing.evacuate("d", false).outcome == status::accepted);
        CPPUNIT_ASSERT(all.node(1).state().evacuated().domains.empty());
        CPPUNIT_ASSERT(all.node(1).state().evacuated().revision > revision);
    }

    // Guards against losing or rejecting a document that an earlier release accepted because a
    // later one checks more: an operator who sends it again must get the same response.
    void documentOfEarlierReleaseStaysInForce()
    {
        using status = routing_result::status;
        control_group all({1, 2, 3});
        const std::vector<int> numbers{1, 2, 3};
        for (const int number : numbers)
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters(numbers); });
        all.codec().acceptsInvalid = true;
        all.put("7 invalid");
        std::ranges::for_each(numbers, [&](int number) { all.stop(number); });
        all.codec().acceptsInvalid = false;
        std::ranges::for_each(numbers, [&](int number) { all.start(number, false); });
        CPPUNIT_ASSERT_EQUAL(std::string("7 invalid"), all.read());
        for (const int number : numbers)
            waitUntil("the document is acknowledged again", [&] {
                return all.node(number).routing().putRouting("7 invalid").outcome
                    == status::accepted;
            });
        CPPUNIT_ASSERT(all.node(1).routing().putRouting("8 invalid").outcome == status::invalid);
        CPPUNIT_ASSERT_EQUAL(std::string("7 invalid"), all.read());
        all.put("9");
        CPPUNIT_ASSERT_EQUAL(std::string("9"), all.read());
    }

    // Guards against a rejected document that replaces the accepted one on some instance.
    void rejectedDocumentChangesNoInstance()
    {
        control_group all({1, 2, 3});
        const std::vector<int> numbers{1, 2, 3};
        for (const int number : numbers)
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters(numbers); });
        all.put("7");
        wire::node_report report;
        report.set_instance("entry-1");
        report.set_omits_listing(true);
        report.set_wants_routing(true);
        for (const int number : numbers) {
            CPPUNIT_ASSERT(all.node(number).routing().putRouting("8 invalid").outcome
                           == routing_result::status::invalid);
            waitUntil("the accepted document is sent",
                      [&] { return all.sync(number, report).routing_text() == "7"; });
        }
        CPPUNIT_ASSERT_EQUAL(std::string("7"), all.read());
    }

    // Guards against a first document with version 0 that is acknowledged and dropped, because 0
    // stood for "no document".
    void firstRoutingVersionMayBeZero()
    {
        using status = routing_result::status;
        control_group all({1});
        all.start(1, true);
        waitUntil("it leads", [&] { return all.leaders() == 1; });
        wire::node_report report;
        report.set_instance("entry-1");
        report.set_omits_listing(true);
        report.set_wants_routing(true);
        CPPUNIT_ASSERT(all.node(1).routing().read().outcome == status::unavailable);
        all.put("0");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), all.read());
        all.put("0 other"); // acknowledged, and changes nothing
        CPPUNIT_ASSERT_EQUAL(std::string("0"), all.read());
        const wire::node_view view = all.sync(1, report);
        CPPUNIT_ASSERT(view.has_routing_version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, view.routing_version());
        CPPUNIT_ASSERT_EQUAL(std::string("0"), view.routing_text());
        report.set_routing_version(0);
        CPPUNIT_ASSERT_EQUAL(std::string(), all.sync(1, report).routing_text());

        all.stop(1);
        all.start(1, false);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), all.read());
        all.put("7");
        CPPUNIT_ASSERT_EQUAL(std::string("7"), all.read());
        CPPUNIT_ASSERT_EQUAL(std::string("7"), all.sync(1, report).routing_text());
    }

    // Guards against complete lists for entry instances that turn to another control instance, also
    // after the leader was lost.
    void allInstancesSendTheSameVersionsOfTheList()
    {
        control_group all({1, 2, 3});
        const std::vector<int> numbers{1, 2, 3};
        for (const int number : numbers)
            all.start(number, true);
        waitUntil("all have a vote", [&] { return all.areVoters(numbers); });
        wire::node_report report;
        const auto digestOf = [&](int number) { return all.sync(number, report).listing_digest(); };
        const auto haveOneVersion = [&](const std::vector<int> &instances) {
            return std::ranges::all_of(instances, [&](int number) {
                const std::uint64_t digest = digestOf(number);
                return digest != 0 && digest == digestOf(instances.front());
            });
        };
        waitUntil("all have the list", [&] { return haveOneVersion(numbers); });
        report.set_listing_digest(digestOf(1));
        report.set_listing_age_ms(60'000);
        const int leader = *std::ranges::find_if(
            numbers, [&](int number) { return all.node(number).view().isLeader; });
        all.stop(leader);
        all.list().drainingUpstream = 42;
        std::vector<int> rest;
        std::ranges::copy_if(numbers, std::back_inserter(rest),
                             [&](int number) { return number != leader; });
        for (const int number : rest)
            waitUntil("the change has arrived", [&] {
                const wire::node_view view = all.sync(number, report);
                CPPUNIT_ASSERT(view.upstreams_size() <= 1);
                return view.upstreams_size() == 1 && view.upstreams(0).id() == "u042"
                    && view.listing_base() == report.listing_digest();
            });
    }

    void partsThatAreNotWantedAreOmitted()
    {
        control_group all({1});
        all.start(1, true);
        wire::node_report report;
        report.set_instance("entry-1");
        CPPUNIT_ASSERT(!all.sync(1, report).has_routing_version());
        all.put("7");
        waitUntil("the list is there", [&] { return all.sync(1, report).upstreams_size() == 100; });
        report.set_omits_listing(true);
        CPPUNIT_ASSERT_EQUAL(0, all.sync(1, report).upstreams_size());
        CPPUNIT_ASSERT_EQUAL(std::string(), all.sync(1, report).routing_text());
        report.set_wants_routing(true);
        const wire::node_view withRouting = all.sync(1, report);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), withRouting.routing_text());
        CPPUNIT_ASSERT_EQUAL(0, withRouting.entries_size());
        report.set_wants_details(true);
        CPPUNIT_ASSERT_EQUAL(1, all.sync(1, report).entries_size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_node_test);
