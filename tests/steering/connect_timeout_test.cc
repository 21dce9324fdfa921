#include "steering/connect_timeout.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class connect_timeout_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connect_timeout_test);
    CPPUNIT_TEST(usesTheMaximumWithoutRecentSamples);
    CPPUNIT_TEST(idleLinkGivesUpSoon);
    CPPUNIT_TEST(successesOnABusyLinkRaiseTheTimeout);
    CPPUNIT_TEST(fewAttemptsOnABusyLinkAreGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void usesTheMaximumWithoutRecentSamples()
    {
        connect_timeout timeout(150ms, 674ms);
        CPPUNIT_ASSERT_EQUAL(674.0, timeout.value(m_start).count());
        timeout.record(10ms, m_start);
        CPPUNIT_ASSERT_EQUAL(150.0, timeout.value(m_start + 1s).count());
        CPPUNIT_ASSERT_EQUAL(674.0, timeout.value(m_start + 3s).count());
    }

    // Guards against 0.7 s of waiting for each upstream that became unreachable, which is most of a
    // latency target of 0.8 s.
    void idleLinkGivesUpSoon()
    {
        connect_timeout timeout(150ms, 674ms);
        for (int i = 0; i < 20; ++i)
            timeout.record(std::chrono::milliseconds(10 + i % 3 * 10), m_start);
        CPPUNIT_ASSERT_EQUAL(150.0, timeout.value(m_start).count());
    }

    // Guards against an estimate that stays low on a link that has become busy, because only the
    // attempts that are faster than the estimate succeed.
    void successesOnABusyLinkRaiseTheTimeout()
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            std::mt19937 random(seed);
            std::uniform_real_distribution<double> delay(10, 400);
            connect_timeout timeout(150ms, 674ms);
            for (int i = 0; i < 200; ++i)
                timeout.record(10ms, m_start);
            for (int i = 0; i < 40; ++i) {
                const connect_timeout::milliseconds time(delay(random));
                if (time <= timeout.value(m_start))
                    timeout.record(time, m_start);
            }
            CPPUNIT_ASSERT(timeout.value(m_start) >= 350ms);
        }
    }

    // A link that is busy with uploads for a part of the time: attempts take up to 300 ms then.
    void fewAttemptsOnABusyLinkAreGivenUp()
    {
        std::mt19937 random(1);
        connect_timeout timeout(150ms, 674ms);
        std::uniform_real_distribution<double> delay(10, 300);
        constexpr int attempts = 10'000;
        int givenUp = 0;
        for (int i = 0; i < attempts; ++i) {
            const bool isBusy = i / 10 % 3 == 0;
            const connect_timeout::milliseconds time(isBusy ? delay(random) : 10);
            const connect_timeout::milliseconds limit = timeout.value(m_start);
            givenUp += time > limit ? 1 : 0;
            if (time <= limit)
                timeout.record(time, m_start);
        }
        CPPUNIT_ASSERT(givenUp < attempts / 50);
    }

private:
    const steady_time m_start{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(connect_timeout_test);
