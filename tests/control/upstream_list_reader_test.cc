#include "control/control_state.h"
#include "control/upstream_list_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

class manual_clock final : public clock_source
{
public:
    steady_time now() const override { return time; }
    std::chrono::system_clock::time_point wallNow() const override { return {}; }

    steady_time time{1000s};
};

class fixed_role final : public replicator
{
public:
    std::future<submit_result> submit(std::string, std::chrono::milliseconds) override
    {
        return {};
    }
    std::future<bool> confirmRead(std::chrono::milliseconds) override { return {}; }
    role_view view() const override { return role; }

    role_view role;
};

// A list with one upstream on each page. `betweenPages` is called before each page but the first.
class paged_list final : public listing_source
{
public:
    explicit paged_list(manual_clock &clock)
        : m_clock(clock)
    { }
    void read(const std::vector<std::string> &domains, const page_handler &onPage) override
    {
        ++reads[domains.size()];
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            if (i > 0)
                betweenPages(i);
            if (fails && i > 0)
                throw control_error("no answer");
            onPage({m_clock.time, {upstreams[i]}});
            m_clock.time += 100ms;
        }
    }

    std::vector<listed_upstream> upstreams;
    std::function<void(std::size_t)> betweenPages = [](std::size_t) {};
    bool fails = false;
    std::map<std::size_t, int> reads; // keyed by the number of failure domains requested

private:
    manual_clock &m_clock;
};

listed_upstream upstreamOf(const std::string &id)
{
    return {id, "s", "1.2.3.4:5", "d", 3, false, 0ms, 0};
}

} // namespace

class upstream_list_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_list_reader_test);
    CPPUNIT_TEST(pagesTakeEffectAsTheyArrive);
    CPPUNIT_TEST(removalRequiresCompleteRead);
    CPPUNIT_TEST(oldListIsReplacedOnlyByCompleteRead);
    CPPUNIT_TEST(longListIsReadByFailureDomain);
    CPPUNIT_TEST(shortListIsReadSequentially);
    CPPUNIT_TEST(voterWithoutLeaderReadsTheList);
    CPPUNIT_TEST(instanceOutsideTheGroupReadsNoList);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_clock.time = steady_time(1000s);
        m_log.role = {};
        m_log.role.leader = 1;
        m_log.role.isLeader = true;
        m_log.role.isVoter = true;
        m_log.role.isConnected = true;
        m_list.upstreams = {upstreamOf("a"), upstreamOf("b"), upstreamOf("c")};
        m_list.betweenPages = [](std::size_t) {};
        m_list.fails = false;
        m_list.reads.clear();
    }

    // Guards against a leaving upstream that still receives requests while the rest of a long list
    // is read.
    void pagesTakeEffectAsTheyArrive()
    {
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        // The first list takes effect only when it is complete.
        m_list.betweenPages
            = [&](std::size_t) { CPPUNIT_ASSERT_EQUAL(0, currentView(reader).upstreams_size()); };
        reader.run();
        CPPUNIT_ASSERT_EQUAL(3, currentView(reader).upstreams_size());
        m_list.upstreams[0].isDraining = true;
        bool isDraining = false;
        m_list.betweenPages
            = [&](std::size_t) { isDraining = currentView(reader).upstreams(0).draining(); };
        reader.run();
        CPPUNIT_ASSERT(isDraining);
    }

    void removalRequiresCompleteRead()
    {
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        reader.run();
        m_list.fails = true;
        reader.run();
        CPPUNIT_ASSERT_EQUAL(3, currentView(reader).upstreams_size());
        m_list.fails = false;
        m_list.upstreams.pop_back();
        reader.run();
        CPPUNIT_ASSERT_EQUAL(2, currentView(reader).upstreams_size());
    }

    // Guards against a new leader that merges its first page into the list of its previous term and
    // so makes the old list appear recent.
    void oldListIsReplacedOnlyByCompleteRead()
    {
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        reader.run();
        const std::uint64_t old = currentView(reader).listing_digest();
        m_clock.time += 60s;
        m_list.upstreams[0].isDraining = true;
        m_list.betweenPages
            = [&](std::size_t) { CPPUNIT_ASSERT_EQUAL(old, currentView(reader).listing_digest()); };
        reader.run();
        CPPUNIT_ASSERT(currentView(reader).listing_digest() != old);
    }

    // Guards against a list of 17 pages that takes 3 s to read sequentially, so that leaving
    // upstreams receive requests after their deadline.
    void longListIsReadByFailureDomain()
    {
        m_list.upstreams.clear();
        for (const char *id : {"a", "b", "c", "d", "e"})
            m_list.upstreams.push_back(upstreamOf(id));
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        for (int i = 0; i < 4; ++i)
            reader.run();
        CPPUNIT_ASSERT_EQUAL(4, m_list.reads[2]);
        CPPUNIT_ASSERT_EQUAL(5, currentView(reader).upstreams_size());
    }

    // Guards against a charged call for each failure domain where one call reads the whole list.
    void shortListIsReadSequentially()
    {
        upstream_list_reader reader(m_list, {"d", "e", "f"}, m_log, m_clock, m_events, m_metrics);
        for (int i = 0; i < 4; ++i)
            reader.run();
        CPPUNIT_ASSERT_EQUAL(1, m_list.reads[3]);
        CPPUNIT_ASSERT_EQUAL(3, m_list.reads[0]);
    }

    // Guards against entry instances that receive no information on leaving upstreams while no
    // leader is known.
    void voterWithoutLeaderReadsTheList()
    {
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        m_log.role = {};
        m_log.role.isVoter = true;
        m_clock.time += 10s;
        reader.run();
        CPPUNIT_ASSERT_EQUAL(3, currentView(reader).upstreams_size());
    }

    // Guards against an instance that is not in the full group, never has contact with a leader,
    // and sends a list of its own that alternates with the leader's.
    void instanceOutsideTheGroupReadsNoList()
    {
        upstream_list_reader reader(m_list, {"d", "e"}, m_log, m_clock, m_events, m_metrics);
        m_log.role = {};
        m_clock.time += 10s;
        reader.run();
        CPPUNIT_ASSERT_EQUAL(0, currentView(reader).upstreams_size());
    }

private:
    wire::node_view currentView(const upstream_list_reader &reader) const
    {
        wire::node_view view;
        reader.addUpdate({}, m_clock.time, view);
        return view;
    }

    manual_clock m_clock;
    fixed_role m_log;
    paged_list m_list{m_clock};
    null_event_log m_events;
    metric_registry m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_list_reader_test);
