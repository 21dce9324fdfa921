#include "steering/ejection_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class ejection_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ejection_policy_test);
    CPPUNIT_TEST(ejectsAtMostHalf);
    CPPUNIT_TEST(ejectsAfterFiveFailuresWithDoublingTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failure of all upstreams that ejects more than half of them.
    void ejectsAtMostHalf()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t count = 1 + seed % 9;
            ejection_policy policy(count);
            steady_time now(1000s);
            std::size_t most = 0;
            for (int i = 0; i < 2000; ++i) {
                now += std::chrono::milliseconds(random() % 200);
                const std::size_t upstream = random() % count;
                if (random() % 10 == 0)
                    policy.recordSuccess(upstream, now);
                else
                    policy.recordFailure(upstream, now);
                most = std::max(most, policy.ejectedCount(now));
            }
            CPPUNIT_ASSERT_EQUAL(count / 2, most);
        }
    }

    void ejectsAfterFiveFailuresWithDoublingTime()
    {
        ejection_policy policy(2);
        steady_time now(1000s);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!policy.recordFailure(0, now));
        policy.recordSuccess(0, now);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!policy.recordFailure(0, now));
        for (const auto length : {2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
            CPPUNIT_ASSERT(policy.recordFailure(0, now));
            CPPUNIT_ASSERT(policy.isEjected(0, now + length - 1ms));
            now += length;
            CPPUNIT_ASSERT(!policy.isEjected(0, now));
        }
        for (int i = 0; i < 5; ++i)
            policy.recordSuccess(0, now);
        for (int i = 0; i < 5; ++i)
            policy.recordFailure(0, now);
        CPPUNIT_ASSERT(!policy.isEjected(0, now + 2s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ejection_policy_test);
