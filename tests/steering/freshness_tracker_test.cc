#include "steering/freshness_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

} // namespace

class freshness_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_tracker_test);
    CPPUNIT_TEST(stampCountsOnceItsRevisionIsApplied);
    CPPUNIT_TEST(provesMissingQuorumByMajority);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that is considered current although it runs an old profile.
    void stampCountsOnceItsRevisionIsApplied()
    {
        freshness_tracker rule(3);
        CPPUNIT_ASSERT(rule.decide(start).state == freshness::isolated);
        rule.recordApplied(5);
        rule.recordStamp(5, start);
        CPPUNIT_ASSERT(rule.decide(start + 2999ms).state == freshness::current);
        CPPUNIT_ASSERT(rule.decide(start + 3s).state == freshness::isolated);
        rule.recordStamp(7, start + 3s);
        rule.recordApplied(6);
        CPPUNIT_ASSERT(rule.decide(start + 3s).state == freshness::isolated);
        rule.recordApplied(7);
        CPPUNIT_ASSERT(rule.decide(start + 3s).state == freshness::current);
        // A stamp with an earlier time of receipt does not extend the time.
        rule.recordStamp(2, start + 1s);
        CPPUNIT_ASSERT(rule.decide(start + 6s).state == freshness::isolated);
    }

    // Guards against an instance that assumes that the configuration cannot change while a quorum
    // exists that it cannot reach.
    void provesMissingQuorumByMajority()
    {
        freshness_tracker rule(3);
        rule.recordProbe(1, probe_answer::no_leader, start);
        CPPUNIT_ASSERT(rule.decide(start).state == freshness::isolated);
        rule.recordProbe(2, probe_answer::refused, start + 1s);
        const freshness_decision proven = rule.decide(start + 2s);
        CPPUNIT_ASSERT(proven.state == freshness::no_quorum_proven && *proven.provenAt == start);
        CPPUNIT_ASSERT(rule.decide(start + 3s).state == freshness::isolated);
        rule.recordProbe(1, probe_answer::no_leader, start + 3s);
        CPPUNIT_ASSERT(*rule.decide(start + 3s).provenAt == start + 1s);
        rule.recordProbe(2, probe_answer::has_leader, start + 3s);
        CPPUNIT_ASSERT_EQUAL(std::string_view("quorum-elsewhere"), rule.decide(start + 3s).rule);
        // Late answers, and answers of unknown voters beyond the voter count, are ignored.
        rule.recordProbe(2, probe_answer::refused, start + 2s);
        rule.recordProbe(3, probe_answer::has_leader, start + 3s);
        rule.recordProbe(4, probe_answer::no_leader, start + 3s);
        CPPUNIT_ASSERT(rule.decide(start + 3s).state == freshness::isolated);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_tracker_test);
