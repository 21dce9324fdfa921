#include "carrier/poll_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class poll_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(poll_schedule_test);
    CPPUNIT_TEST(pollsDuringStartAreLimited);
    CPPUNIT_TEST(manyInstancesPollLessOften);
    CPPUNIT_TEST(instancesDoNotStaySynchronized);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overloading control instances with the polls of instances that wait for the
    // first leader, which delayed its election to 8 s.
    void pollsDuringStartAreLimited()
    {
        poll_schedule schedule(1);
        std::chrono::milliseconds time{0};
        int polls = 0;
        for (; time < 10s; ++polls)
            time += schedule.nextDelay();
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::minPeriod);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(polls), polls <= 26);
    }

    // Guards against the polls of 185 instances using most of a control instance's CPU time.
    void manyInstancesPollLessOften()
    {
        poll_schedule schedule(1);
        schedule.setReady();
        for (const std::size_t count : {1U, 11U, 65U, 100U, 185U, 200U}) {
            schedule.setInstanceCount(count);
            const double perSecond = 1'000.0 * static_cast<double>(count)
                / static_cast<double>(schedule.period().count());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count),
                                   perSecond <= poll_schedule::maxPollsPerSecond + 1);
        }
        // The time in which instances must learn of a leaving upstream limits the period.
        schedule.setInstanceCount(5'900);
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::maxPeriod);
        schedule.setInstanceCount(11);
        CPPUNIT_ASSERT(schedule.period() == poll_schedule::minPeriod);
    }

    // Guards against the polls of all instances staying synchronized for as long as they run.
    void instancesDoNotStaySynchronized()
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
