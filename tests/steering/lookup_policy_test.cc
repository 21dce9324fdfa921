#include "steering/failure_detector.h"
#include "steering/freshness_tracker.h"
#include "steering/lookup_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <map>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t callerCount = 20'000;

topology threeRegions()
{
    topology deployment;
    for (const char *name : {"east", "mid", "west"})
        deployment.regions.push_back({name, {}});
    deployment.links = {{"east", "mid", 1, 20ms}, {"east", "west", 1, 55ms}};
    return deployment;
}

std::vector<lookup_candidate> instances(int perRegion)
{
    std::vector<lookup_candidate> result;
    for (const char *region : {"east", "mid", "west"}) {
        for (int i = 0; i < perRegion; ++i) {
            lookup_candidate item;
            item.status.name = fmt::format("{}{}", region, i);
            item.status.region = region;
            item.status.failureDomain = fmt::format("{}-{}", region, i % 2);
            result.push_back(item);
        }
    }
    return result;
}

const delay_table delays(threeRegions());

lookup_decision decide(std::uint64_t key, const std::vector<lookup_candidate> &candidates,
                       std::string_view region = "east", const profile &rules = {})
{
    lookup_request request;
    request.service = "svc";
    request.placementKey = key;
    request.region = region;
    return decideLookup(request, candidates, delays, rules);
}

// Returns the share of the callers' traffic that goes to each region.
std::map<std::string, double> regionShares(const std::vector<lookup_candidate> &candidates,
                                           const profile &rules = {})
{
    std::map<std::string, double> shares;
    for (std::uint64_t key = 0; key < 2000; ++key) {
        const lookup_decision decision = decide(key, candidates, "east", rules);
        // The probability of the first choice is proportional to its weight.
        shares[candidates[decision.choices[0].candidate].status.region] += 1.0 / 2000;
    }
    return shares;
}

} // namespace

class lookup_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lookup_policy_test);
    CPPUNIT_TEST(losingOneInstanceMovesOnlyItsCallers);
    CPPUNIT_TEST(nearRegionComesFirst);
    CPPUNIT_TEST(spillsBeforeRegionIsFull);
    CPPUNIT_TEST(loadedInstanceGetsLess);
    CPPUNIT_TEST(usesBestFreshnessOnly);
    CPPUNIT_TEST(excludesIneligibleInstances);
    CPPUNIT_TEST(bestThreeCoverTwoFailureDomains);
    CPPUNIT_TEST(boundsCacheLifetime);
    CPPUNIT_TEST(silentInstanceIsOutOfUseWithinTarget);
    CPPUNIT_TEST(recordExplainsDecision);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against moving the callers of other instances when one instance fails.
    void losingOneInstanceMovesOnlyItsCallers()
    {
        for (const int n : {2, 5, 11}) {
            std::vector<lookup_candidate> all;
            for (const lookup_candidate &item : instances(n))
                if (item.status.region == "east")
                    all.push_back(item);
            std::vector<lookup_candidate> fewer(all.begin() + 1, all.end());
            std::uint64_t moved = 0;
            for (std::uint64_t key = 0; key < callerCount; ++key) {
                const std::string &before = all[decide(key, all).choices[0].candidate].status.name;
                const std::string &after
                    = fewer[decide(key, fewer).choices[0].candidate].status.name;
                if (before == after)
                    continue;
                CPPUNIT_ASSERT_EQUAL(all[0].status.name, before);
                ++moved;
            }
            const double p = 1.0 / n;
            const double deviation = std::sqrt(callerCount * p * (1 - p));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(callerCount * p, static_cast<double>(moved),
                                         4 * deviation);
        }
    }

    // Guards against sending callers to another region while their own has capacity.
    void nearRegionComesFirst()
    {
        for (std::uint64_t key = 0; key < 500; ++key) {
            const auto candidates = instances(4);
            const lookup_decision decision = decide(key, candidates);
            for (const lookup_choice &choice : decision.chosen())
                CPPUNIT_ASSERT_EQUAL(std::string("east"),
                                     candidates[choice.candidate].status.region);
        }
    }

    // Guards against a region that reaches full load before the next one is used, and against
    // profile weights that have no effect.
    void spillsBeforeRegionIsFull()
    {
        profile latencyFirst;
        latencyFirst.latencyWeight = 1;
        latencyFirst.headroomWeight = 0;
        profile headroomFirst;
        headroomFirst.latencyWeight = 0;
        headroomFirst.headroomWeight = 1;
        double previous = 1.1;
        for (const double load : {0.3, 0.6, 0.75, 0.9, 0.97}) {
            auto candidates = instances(4);
            for (lookup_candidate &item : candidates)
                item.status.load = item.status.region == "east" ? load : 0.1;
            const double near = regionShares(candidates)["east"];
            CPPUNIT_ASSERT(near <= previous + 0.02);
            previous = near;
            if (load == 0.75) {
                CPPUNIT_ASSERT(near > 0.4 && near < 0.95);
                CPPUNIT_ASSERT(regionShares(candidates, latencyFirst)["east"] > 0.99);
                CPPUNIT_ASSERT(regionShares(candidates, headroomFirst)["east"] < near);
                auto shares = regionShares(candidates);
                CPPUNIT_ASSERT(shares["mid"] > shares["west"]);
            }
        }
        CPPUNIT_ASSERT(previous < 0.2);
    }

    // Guards against equal shares for instances with different headroom, and against an invalid
    // load that excludes or overloads an instance.
    void loadedInstanceGetsLess()
    {
        auto candidates = instances(3);
        candidates[0].status.load = 0.8;
        candidates[1].status.load = 0.2;
        candidates[2].status.load = std::numeric_limits<double>::quiet_NaN();
        std::map<std::string, int> first;
        for (std::uint64_t key = 0; key < 4000; ++key)
            ++first[candidates[decide(key, candidates).choices[0].candidate].status.name];
        CPPUNIT_ASSERT(first["east0"] > 0 && first["east1"] > 2 * first["east0"]);
        CPPUNIT_ASSERT(first["east2"] > first["east0"] && first["east2"] < first["east1"]);
    }

    // Guards against answers with isolated instances while others are reachable, and against empty
    // answers when all control instances are lost.
    void usesBestFreshnessOnly()
    {
        auto candidates = instances(2);
        for (lookup_candidate &item : candidates)
            item.freshnessLevel = freshness::isolated;
        CPPUNIT_ASSERT(decide(1, candidates).count == 3);
        candidates[4].freshnessLevel = freshness::unknown;
        CPPUNIT_ASSERT(decide(1, candidates).count == 1);
        candidates[5].freshnessLevel = freshness::no_quorum_proven;
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, decide(1, candidates).choices[0].candidate);
        candidates[3].freshnessLevel = freshness::current;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decide(1, candidates).choices[0].candidate);
    }

    void excludesIneligibleInstances()
    {
        auto candidates = instances(2);
        candidates[0].status.state = instance_state::suspected;
        candidates[1].status.state = instance_state::leaving;
        candidates[2].status.state = instance_state::dead;
        candidates[3].status.state = instance_state::not_ready;
        candidates[4].isDrained = true;
        candidates[5].status.state = instance_state::removed;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decide(1, candidates).count);
        candidates[5].status.state = instance_state::live;
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, decide(1, candidates).choices[0].candidate);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decide(1, {}).count);
    }

    // Guards against an answer whose instances are all lost with one failure domain.
    void bestThreeCoverTwoFailureDomains()
    {
        const auto candidates = instances(8);
        for (std::uint64_t key = 0; key < 500; ++key) {
            const lookup_decision decision = decide(key, candidates);
            const auto domain = [&](int i) {
                return candidates[decision.choices[i].candidate].status.failureDomain;
            };
            CPPUNIT_ASSERT(domain(0) != domain(1) || domain(0) != domain(2));
        }
    }

    // Guards against cached answers that keep callers on a disconnected instance for longer than
    // the 7 s within which an accepted change must be in effect everywhere.
    void silentInstanceIsOutOfUseWithinTarget()
    {
        constexpr std::chrono::milliseconds target{7'000};
        // Other instances return it until they receive a table that shows it as suspected, or until
        // their last table is too old to be used.
        for (std::chrono::milliseconds age{0}; age <= directoryLifetime; ++age)
            CPPUNIT_ASSERT(failure_detector::suspectAfter + age
                               + cacheLifetime(maxLookupLifetime, age)
                           <= target);
        // It returns itself as long as its own confirmation is valid.
        CPPUNIT_ASSERT(freshness_tracker::stampLifetime + cacheLifetime(maxLookupLifetime, 0ms)
                       <= target);
    }

    void boundsCacheLifetime()
    {
        profile rules;
        rules.lookupLifetime = 10s;
        CPPUNIT_ASSERT(decide(1, instances(1), "east", rules).lifetime == 3s);
        lookup_request request;
        request.shiftUnderWay = true;
        CPPUNIT_ASSERT(decideLookup(request, instances(1), delays, rules).lifetime == 1s);
    }

    // Guards against records whose size grows with the deployment or that lack the reason.
    void recordExplainsDecision()
    {
        auto candidates = instances(40);
        for (std::size_t i = 0; i < 30; ++i)
            candidates[i].isDrained = true;
        decision_record record;
        record.id = makeDecisionId("entry-a-1", 7);
        decideLookup({"svc", 1, "east", "", false, 12}, candidates, delays, {}, &record);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, record.revision);
        CPPUNIT_ASSERT_EQUAL(decision_record::maxItems, record.ruledOut().size());
        CPPUNIT_ASSERT_EQUAL(14U, record.omitted());
        CPPUNIT_ASSERT_EQUAL(std::string("drained"), record.ruledOut()[0].reason);
        CPPUNIT_ASSERT(record.toJson().find("\"rule\":\"nearest\"") != std::string::npos);
        record.setRule(std::string(1000, 'x'));
        CPPUNIT_ASSERT_EQUAL(decision_record::maxText, record.rule().size());
        const auto id = parseDecisionId(record.id);
        CPPUNIT_ASSERT(id && id->instance == "entry-a-1" && id->number == 7);
        for (const char *text : {"", "-1", "a-", "a", "a-1x", "a-99999999999999999999"})
            CPPUNIT_ASSERT(!parseDecisionId(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lookup_policy_test);
