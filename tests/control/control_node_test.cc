#include "control/control_node.h"
#include "testing/free_port.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Decodes routing documents of the form "VERSION ..."; those that end in "invalid" are rejected.
class number_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view text) const override
    {
        routing_document result;
        result.version = std::stoull(std::string(text));
        if (text.ends_with("invalid"))
            throw settings_error("invalid");
        return result;
    }
};

class fixed_list final : public listing_source
{
public:
    void read(const std::vector<std::string> &, const page_handler &onPage) override
    {
        onPage(
            {std::chrono::steady_clock::now(), {{"u", "s", "1.2.3.4:5", "d", 1, false, 0ms, 0}}});
    }
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

private:
    std::filesystem::path folderOf(int number) const
    {
        return m_folder.path() / std::to_string(number);
    }

    std::vector<int> m_seeds;
    free_port m_port;
    temp_folder m_folder;
    number_codec m_codec;
    fixed_list m_list;
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
    CPPUNIT_TEST(joinsThroughSeedsThatDoNotLead);
    CPPUNIT_TEST(routingChangesReportTheirOutcome);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_node_test);
