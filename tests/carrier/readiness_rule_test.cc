#include "carrier/readiness_rule.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);
const std::set<std::string> voters = {"1", "2", "3"};
constexpr auto lag = 800ms;

} // namespace

class readiness_rule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(readiness_rule_test);
    CPPUNIT_TEST(majorityMustAnswer);
    CPPUNIT_TEST(listFromBeforeTheStartIsNotEnough);
    CPPUNIT_TEST(listThatCannotBeReadIsWaitedForBriefly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an old routing document of a control instance that is cut off.
    void majorityMustAnswer()
    {
        readiness_rule rule(lag);
        const steady_time now = start;
        CPPUNIT_ASSERT(!rule.isReady(voters, true, now));
        rule.recordAnswer("1", start);
        rule.recordAnswer("9", start); // no voter
        CPPUNIT_ASSERT(!rule.isReady(voters, true, now));
        rule.recordAnswer("2", start);
        CPPUNIT_ASSERT(rule.isReady(voters, true, now));
        CPPUNIT_ASSERT(!rule.isReady(voters, false, now));
        CPPUNIT_ASSERT(!rule.isReady(voters, true, std::nullopt));
    }

    // Guards against entry instances that take an upstream for warm that restarted shortly before
    // they did.
    void listFromBeforeTheStartIsNotEnough()
    {
        readiness_rule rule(lag);
        rule.recordAnswer("1", start);
        rule.recordAnswer("2", start + 100ms);
        CPPUNIT_ASSERT(!rule.knowsWarmUpstreams(start + 799ms, start + 1s));
        CPPUNIT_ASSERT(rule.knowsWarmUpstreams(start + 800ms, start + 1s));
    }

    // Guards against entry instances that take all upstreams for cold while the list is down.
    void listThatCannotBeReadIsWaitedForBriefly()
    {
        readiness_rule rule(lag);
        rule.recordAnswer("1", start);
        rule.recordAnswer("2", start);
        CPPUNIT_ASSERT(!rule.knowsWarmUpstreams(start - 1min, start + 3'999ms));
        CPPUNIT_ASSERT(rule.knowsWarmUpstreams(start - 1min, start + 4s));
        CPPUNIT_ASSERT(!rule.knowsWarmUpstreams(std::nullopt, start + 4s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(readiness_rule_test);
