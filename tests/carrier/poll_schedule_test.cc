#include "carrier/poll_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class poll_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(poll_schedule_test);
    CPPUNIT_TEST(startOfALargeDeploymentIsBounded);
    CPPUNIT_TEST(manyInstancesPollLessOften);
    CPPUNIT_TEST(instancesDoNotStayInStep);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against control instances that are busy with polls of instances that wait for the
    // first leader, so that it is elected after 8 s only.
    void startOfALargeDeploymentIsBounded()
    {
        poll_schedule schedule(1);
        std::chrono::milliseconds time{0};
        int polls = 0;
        for (; time < 10s; ++polls)
            time += schedule.nextDelay();
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::shortestPeriod);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(polls), polls <= 26);
    }

    // Guards against 185 instances that take most of a control instance's processor.
    void manyInstancesPollLessOften()
    {
        poll_schedule schedule(1);
        schedule.setReady();
        for (const std::size_t count : {1U, 11U, 65U, 100U, 185U, 200U}) {
            schedule.setInstances(count);
            const double perSecond = 1'000.0 * static_cast<double>(count)
                / static_cast<double>(schedule.period().count());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count),
                                   perSecond <= poll_schedule::pollsPerSecond + 1);
        }
        // Leaving upstreams bound how long an instance may go without news.
        schedule.setInstances(5'900);
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::longestPeriod);
        schedule.setInstances(11);
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::shortestPeriod);
    }

    // Guards against polls of all instances that arrive at the same moment for the whole day.
    void instancesDoNotStayInStep()
    {
        poll_schedule one(1);
        poll_schedule other(2);
        one.setReady();
        other.setReady();
        std::chrono::milliseconds difference{0};
        std::chrono::milliseconds largest{0};
        for (int i = 0; i < 100; ++i) {
            const std::chrono::milliseconds delay = one.nextDelay();
            CPPUNIT_ASSERT(delay >= one.period() * 4 / 5 && delay <= one.period() * 6 / 5);
            difference += delay - other.nextDelay();
            largest = std::max(largest, std::chrono::abs(difference));
        }
        CPPUNIT_ASSERT(largest > 100ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poll_schedule_test);
