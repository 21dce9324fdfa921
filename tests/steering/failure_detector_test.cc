#include "steering/failure_detector.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

} // namespace

class failure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_detector_test);
    CPPUNIT_TEST(suspectsOnlyWithObservers);
    CPPUNIT_TEST(dampsRepeatedRefutations);
    CPPUNIT_TEST(removesOnlyUnlistedOrByOperator);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against suspecting an instance because its path to a single observer fails.
    void suspectsOnlyWithObservers()
    {
        failure_detector rule(1, start);
        liveness_input input;
        CPPUNIT_ASSERT(rule.decide(input, start + 2999ms).state == instance_state::live);
        input.reachability = observed_reachability::reachable;
        CPPUNIT_ASSERT(rule.decide(input, start + 3s).state == instance_state::live);
        input.reachability = observed_reachability::unreachable;
        CPPUNIT_ASSERT(rule.decide(input, start + 3s).state == instance_state::suspected);
        input.reachability = observed_reachability::reachable;
        CPPUNIT_ASSERT(rule.decide(input, start + 10s).state == instance_state::dead);
        CPPUNIT_ASSERT(!rule.recordReport(0, start + 11s));
        CPPUNIT_ASSERT(rule.recordReport(2, start + 11s));
        CPPUNIT_ASSERT(rule.decide(input, start + 11s).state == instance_state::live);
        input.isReady = false;
        CPPUNIT_ASSERT(rule.decide(input, start + 11s).state == instance_state::not_ready);
        input.isLeaving = true;
        CPPUNIT_ASSERT(rule.decide(input, start + 11s).state == instance_state::leaving);
    }

    // Guards against an instance that alternates between silent and reporting and moves callers
    // each time.
    void dampsRepeatedRefutations()
    {
        failure_detector rule(1, start);
        const liveness_input input;
        steady_time now = start;
        const auto flap = [&] {
            now += 4s;
            CPPUNIT_ASSERT(rule.decide(input, now).state == instance_state::suspected);
            rule.recordReport(1, now);
        };
        flap();
        flap();
        CPPUNIT_ASSERT(rule.decide(input, now).state == instance_state::live);
        for (const auto length : {2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
            flap();
            CPPUNIT_ASSERT(rule.holdDownUntil() == now + length);
            CPPUNIT_ASSERT_EQUAL(std::string_view("refuted-too-often"),
                                 rule.decide(input, now).rule);
        }
        // A refutation window (60 s) without refutations resets the hold-down time.
        for (int second = 0; second < 70; ++second) {
            now += 1s;
            rule.recordReport(1, now);
        }
        flap();
        CPPUNIT_ASSERT(rule.decide(input, now).state == instance_state::live);
    }

    void removesOnlyUnlistedOrByOperator()
    {
        failure_detector rule(1, start);
        liveness_input input;
        CPPUNIT_ASSERT(rule.decide(input, start + 1h).state == instance_state::dead);
        input.isListed = false;
        CPPUNIT_ASSERT(rule.decide(input, start + 9min).state == instance_state::dead);
        CPPUNIT_ASSERT(rule.decide(input, start + 10min).state == instance_state::removed);
        input.isListed = true;
        input.isRemovedByOperator = true;
        CPPUNIT_ASSERT(rule.decide(input, start).state == instance_state::removed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_detector_test);
