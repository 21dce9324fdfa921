#include "control/entry_instance_table.h"
#include "steering/entry_directory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

wire::node_report reportOf(const std::string &name, std::uint64_t incarnation, bool isReady)
{
    wire::node_report report;
    report.set_instance(name);
    report.set_incarnation(incarnation);
    report.set_entry_address("1.2.3.4:5");
    report.set_ready(isReady);
    return report;
}

} // namespace

class entry_instance_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_instance_table_test);
    CPPUNIT_TEST(silentInstancesAreOmittedAndLeavingOnesNotReady);
    CPPUNIT_TEST(silenceLimitDependsOnReportPeriod);
    CPPUNIT_TEST(lateReportOfAnEarlierProcessIsIgnored);
    CPPUNIT_TEST(callersGetTheirRegionFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void silentInstancesAreOmittedAndLeavingOnesNotReady()
    {
        entry_instance_table table;
        table.update(reportOf("a", 1, true), start);
        wire::node_report leaving = reportOf("b", 1, true);
        leaving.set_leaving(true);
        table.update(leaving, start);
        const auto live = table.live(start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live.size());
        CPPUNIT_ASSERT(live[0].isReady && !live[1].isReady);
        CPPUNIT_ASSERT(table.live(start + 2s).empty());
    }

    // Guards against instances of a large deployment, which report less often, that are alternately
    // listed and omitted, and against a long reported period that keeps a dead instance listed
    // forever.
    void silenceLimitDependsOnReportPeriod()
    {
        entry_instance_table table;
        wire::node_report slow = reportOf("a", 1, true);
        slow.set_period_ms(1'000);
        table.update(slow, start);
        CPPUNIT_ASSERT(!table.live(start + 3s).empty());
        CPPUNIT_ASSERT(table.live(start + 3'200ms).empty());
        slow.set_period_ms(60'000);
        table.update(slow, start);
        CPPUNIT_ASSERT(table.live(start + 4'100ms).empty());
    }

    // Guards against a delayed report that arrives after the restart of its instance.
    void lateReportOfAnEarlierProcessIsIgnored()
    {
        entry_instance_table table;
        table.update(reportOf("a", 2, false), start);
        table.update(reportOf("a", 1, true), start);
        CPPUNIT_ASSERT(!table.live(start)[0].isReady);
    }

    void callersGetTheirRegionFirst()
    {
        const std::vector<directory_entry> entries = {{"1", "r", "d2", true},
                                                      {"2", "r", "d1", true},
                                                      {"3", "q", "x", true},
                                                      {"4", "r", "d1", false}};
        using list = std::vector<std::string>;
        CPPUNIT_ASSERT(chooseEntries(entries, "r", "d1", 64) == (list{"2", "1"}));
        CPPUNIT_ASSERT(chooseEntries(entries, "r", "d1", 1) == (list{"2"}));
        CPPUNIT_ASSERT(chooseEntries(entries, "p", "d9", 64).size() == 3);
        CPPUNIT_ASSERT(chooseEntries({{"4", "r", "d1", false}}, "r", "d1", 64).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_instance_table_test);
