#include "carrier/limit_tracker.h"
#include "control/upstream_limit_table.h"
#include "net/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

upstream_listing listingOf(std::size_t upstreams)
{
    upstream_listing result;
    result.readAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < upstreams; ++i)
        result.upstreams.push_back(
            {fmt::format("u{}", i), "s", "127.0.0.1:1", "d", 4, false, 0ms, 1});
    return result;
}

// What an entry instance keeps about limits.
class instance
{
public:
    explicit instance(std::size_t upstreams = 1)
        : m_table(m_loop, {{"d", "r"}}, m_events)
    {
        m_table.apply(listingOf(upstreams), nullptr);
    }

    void observe(const std::string &id, std::optional<double> limit)
    {
        m_table.recordLimit(*m_table.find(id), limit);
    }
    // Reports to a control instance, `pause` after the last observation. Returns the number of
    // limits in the report and in the answer.
    std::pair<int, int> sync(upstream_limit_table &control, std::chrono::milliseconds pause = 0ms)
    {
        const steady_time now = m_loop.now() + pause;
        wire::node_report report;
        m_tracker.describe(m_table, now, report);
        control.update(report, now);
        wire::node_view view;
        control.addUpdate(report, now, view);
        m_tracker.apply(view, now, m_table);
        return {report.limits_size(), view.limits_size()};
    }
    std::optional<double> limit(const std::string &id) const
    {
        return m_table.find(id)->notices->requestLimit();
    }
    upstream_table &table() { return m_table; }

private:
    event_loop m_loop;
    null_event_log m_events;
    upstream_table m_table;
    limit_tracker m_tracker;
};

wire::upstream_limit reported(const std::string &id, double perSecond, std::int64_t ageMs)
{
    wire::upstream_limit result;
    result.set_id(id);
    result.set_started_ms(1);
    result.set_is_limited(true);
    result.set_per_second(perSecond);
    result.set_age_ms(ageMs);
    return result;
}

std::vector<wire::upstream_limit> updatesOf(const upstream_limit_table &table, steady_time now,
                                            const wire::node_report &report = {})
{
    wire::node_view view;
    table.addUpdate(report, now, view);
    return {view.limits().begin(), view.limits().end()};
}

} // namespace

// Request limits that entry instances learn from each other through the control instances.
class limit_sharing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_sharing_test);
    CPPUNIT_TEST(limitsAndTheirEndsReachOtherInstances);
    CPPUNIT_TEST(limitOfAnUnlistedProcessIsKept);
    CPPUNIT_TEST(onlyNewsIsSent);
    CPPUNIT_TEST(confirmationIsPassedOn);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST(newestObservationCounts);
    CPPUNIT_TEST(invalidReportsAreIgnored);
    CPPUNIT_TEST(anotherControlInstanceSendsEverything);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that never learn that a limit is over, because they have no share
    // and so get no response from the upstream.
    void limitsAndTheirEndsReachOtherInstances()
    {
        upstream_limit_table control(1);
        instance first;
        instance second;
        first.observe("u0", 3);
        first.sync(control);
        second.sync(control);
        CPPUNIT_ASSERT_EQUAL(3.0, second.limit("u0").value());
        first.observe("u0", 5.5);
        first.sync(control);
        second.sync(control);
        CPPUNIT_ASSERT_EQUAL(5.5, second.limit("u0").value());
        first.observe("u0", std::nullopt);
        first.sync(control);
        second.sync(control);
        CPPUNIT_ASSERT(!second.limit("u0"));
    }

    // Guards against a limit that is lost because the list with its upstream arrives later.
    void limitOfAnUnlistedProcessIsKept()
    {
        upstream_limit_table control(1);
        instance first(2);
        instance second(1);
        first.observe("u1", 3);
        first.sync(control);
        second.sync(control);
        second.table().apply(listingOf(2), nullptr);
        CPPUNIT_ASSERT_EQUAL(3.0, second.limit("u1").value());
    }

    // Guards against reports and answers that grow with the number of limited upstreams.
    void onlyNewsIsSent()
    {
        constexpr std::size_t upstreams = 20;
        upstream_limit_table control(1);
        instance first(upstreams);
        instance second(upstreams);
        for (std::size_t i = 0; i < upstreams; ++i)
            first.observe(fmt::format("u{}", i), 2);
        CPPUNIT_ASSERT(first.sync(control) == std::pair(20, 20));
        CPPUNIT_ASSERT(second.sync(control) == std::pair(0, 20));
        CPPUNIT_ASSERT(first.sync(control) == std::pair(0, 0));
        for (std::size_t i = 0; i < upstreams; ++i) {
            first.observe(fmt::format("u{}", i), 2);
            second.observe(fmt::format("u{}", i), 2);
        }
        CPPUNIT_ASSERT(first.sync(control) == std::pair(0, 0));
        CPPUNIT_ASSERT(second.sync(control) == std::pair(0, 0));
        second.observe("u7", 1);
        CPPUNIT_ASSERT(second.sync(control) == std::pair(1, 1));
        CPPUNIT_ASSERT(first.sync(control) == std::pair(0, 1));
    }

    // Guards against instances without a share that check a limit which others have confirmed.
    void confirmationIsPassedOn()
    {
        upstream_limit_table control(1);
        const steady_time start(1000s);
        wire::node_report report;
        *report.add_limits() = reported("u", 2, 0);
        control.update(report, start);
        control.update(report, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000},
                             std::int64_t{updatesOf(control, start + 2s).front().age_ms()});
        wire::node_report known;
        known.set_limits_epoch(1);
        known.set_limits_version(1);
        CPPUNIT_ASSERT(updatesOf(control, start + 2s, known).empty());
        control.update(report, start + upstream_limit_table::refreshInterval);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            updatesOf(control, start + upstream_limit_table::refreshInterval, known).size());
    }

    // Guards against reports that fill the link when many upstreams name a limit at once.
    void reportsAreBounded()
    {
        constexpr std::size_t upstreams = 150;
        upstream_limit_table control(1);
        instance first(upstreams);
        for (std::size_t i = 0; i < upstreams; ++i)
            first.observe(fmt::format("u{}", i), 2);
        CPPUNIT_ASSERT_EQUAL(limit_tracker::maxReportedLimits, first.sync(control).first);
        CPPUNIT_ASSERT_EQUAL(limit_tracker::maxReportedLimits, first.sync(control).first);
        CPPUNIT_ASSERT_EQUAL(150 - 2 * limit_tracker::maxReportedLimits, first.sync(control).first);
        CPPUNIT_ASSERT_EQUAL(0, first.sync(control).first);
    }

    // Guards against a report that was delayed and brings back an earlier limit.
    void newestObservationCounts()
    {
        upstream_limit_table control(1);
        const steady_time start(1000s);
        wire::node_report later;
        *later.add_limits() = reported("u", 5, 100);
        control.update(later, start);
        wire::node_report earlier;
        *earlier.add_limits() = reported("u", 2, 900);
        control.update(earlier, start + 500ms);
        CPPUNIT_ASSERT_EQUAL(5.0, updatesOf(control, start + 1s).front().per_second());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'100},
                             std::int64_t{updatesOf(control, start + 1s).front().age_ms()});
        // Without a newer observation it is deleted.
        control.update({}, start + upstream_limit_table::retention + 1s);
        CPPUNIT_ASSERT(updatesOf(control, start + upstream_limit_table::retention + 1s).empty());
    }

    // Guards against values that never expire, overflow, or fill the table.
    void invalidReportsAreIgnored()
    {
        upstream_limit_table control(1);
        const steady_time start(1000s);
        wire::node_report report;
        *report.add_limits() = reported("u", -1, 0);
        *report.add_limits() = reported("u", std::numeric_limits<double>::quiet_NaN(), 0);
        *report.add_limits() = reported("u", std::numeric_limits<double>::infinity(), 0);
        *report.add_limits() = reported("u", 2, -1);
        *report.add_limits() = reported("u", 2, std::numeric_limits<std::int64_t>::max());
        *report.add_limits() = reported("u", 2, 3'600'000);
        *report.add_limits() = reported(std::string(10'000, 'u'), 2, 0);
        control.update(report, start);
        CPPUNIT_ASSERT(updatesOf(control, start).empty());
        wire::node_report many;
        for (std::size_t i = 0; i < upstream_limit_table::maxUpstreams + 100; ++i)
            *many.add_limits() = reported(fmt::format("u{}", i), 2, 0);
        control.update(many, start);
        CPPUNIT_ASSERT_EQUAL(upstream_limit_table::maxUpstreams, updatesOf(control, start).size());
    }

    // Guards against a version of one control instance that is taken for one of another.
    void anotherControlInstanceSendsEverything()
    {
        upstream_limit_table one(1);
        upstream_limit_table other(2);
        instance first(3);
        instance second(3);
        for (const char *id : {"u0", "u1", "u2"})
            first.observe(id, 2);
        first.sync(one);
        first.observe("u1", 4);
        first.sync(one);
        second.sync(one);
        wire::node_report report;
        *report.add_limits() = reported("u0", 1, 0);
        other.update(report, std::chrono::steady_clock::now() + 1s);
        CPPUNIT_ASSERT_EQUAL(1, second.sync(other, 2s).second);
        CPPUNIT_ASSERT_EQUAL(1.0, second.limit("u0").value());
        CPPUNIT_ASSERT_EQUAL(4.0, second.limit("u1").value());
        CPPUNIT_ASSERT_EQUAL(3, second.sync(one, 2s).second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_sharing_test);
