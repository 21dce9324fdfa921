#include "steering/region_share.h"
#include "steering/shared_rate_limiter.h"
#include "steering/shared_retry_budget.h"
#include "testing/sliding_window.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

std::vector<peer_instance> instancesIn(std::size_t count)
{
    std::vector<peer_instance> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({fmt::format("entry-{}", i), i % 3 == 0 ? "near" : "far"});
    return result;
}

} // namespace

// Tests limits that all entry instances divide without coordination.
class shared_budgets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_budgets_test);
    CPPUNIT_TEST(coldUpstreamsStayWithinTheirRate);
    CPPUNIT_TEST(coldRateHoldsWhenRequestsWaitForConnections);
    CPPUNIT_TEST(unknownInstancesGetNoShare);
    CPPUNIT_TEST(sharesOfARequestLimitSumUpToIt);
    CPPUNIT_TEST(probesOfARequestLimitStayBelowAQuarterOfIt);
    CPPUNIT_TEST(retriesStayWithinSharedBudget);
    CPPUNIT_TEST(regionSharesMoveByAStepAtMost);
    CPPUNIT_TEST(lostRegionMovesEverything);
    CPPUNIT_TEST(startFollowsSlotsAndCallers);
    CPPUNIT_TEST(requestsReturnWhenOwnRegionHasCapacity);
    CPPUNIT_TEST(changeOfSharesMovesFewObjects);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overloading a cold upstream, which then crashes, because every instance sends
    // it requests at the same time.
    void coldUpstreamsStayWithinTheirRate()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            const auto instances = instancesIn(1 + random() % 80);
            const double bound = 2 + static_cast<double>(random() % 30);
            std::vector<shared_rate_limiter> limiters(instances.size());
            std::vector<steady_time> sent;
            for (auto now = start; now < start + 5s; now += 3ms) {
                const std::size_t sender = random() % instances.size();
                const rate_share share
                    = coldStartShare(instances, instances[sender].name, "upstream", "near", bound);
                if (limiters[sender].tryReserve(now, share)) {
                    limiters[sender].recordSent(now);
                    sent.push_back(now);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                   static_cast<double>(mostWithin(sent, 1s)) <= bound);
            if (bound >= 4)
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: no request sent", seed),
                                       !sent.empty());
        }
    }

    // Guards against limiting the rate at which requests are assigned instead of the rate at which
    // they are sent.
    void coldRateHoldsWhenRequestsWaitForConnections()
    {
        struct waiting_request
        {
            std::size_t sender;
            steady_time end;
            bool isSent; // Sent at `end` if true, otherwise cancelled.
        };
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            std::mt19937_64 random(seed);
            const auto instances = instancesIn(1 + random() % 20);
            const double bound = 2 + static_cast<double>(random() % 30);
            std::vector<shared_rate_limiter> limiters(instances.size());
            std::vector<waiting_request> waiting;
            std::vector<steady_time> sent;
            for (auto now = start; now < start + 8s; now += 3ms) {
                std::erase_if(waiting, [&](const waiting_request &request) {
                    if (request.end > now)
                        return false;
                    if (request.isSent) {
                        limiters[request.sender].recordSent(now);
                        sent.push_back(now);
                    } else {
                        limiters[request.sender].release();
                    }
                    return true;
                });
                const std::size_t sender = random() % instances.size();
                const rate_share share
                    = coldStartShare(instances, instances[sender].name, "upstream", "near", bound);
                if (limiters[sender].tryReserve(now, share))
                    waiting.push_back({sender, now + std::chrono::milliseconds(random() % 900),
                                       random() % 8 != 0});
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                   static_cast<double>(mostWithin(sent, 1s)) <= bound);
            if (bound >= 4)
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: no request sent", seed),
                                       !sent.empty());
        }
    }

    // Guards against shares that exceed a limit in sum, or leave a part of it unused, for any
    // number of instances.
    void sharesOfARequestLimitSumUpToIt()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t instances = 1 + random() % 6'000;
            const double limit = static_cast<double>(random() % 4'000) / 100;
            std::size_t sum = 0;
            std::uint32_t most = 0;
            std::uint32_t least = UINT32_MAX;
            for (std::size_t rank = 0; rank < instances; ++rank) {
                const rate_share share = requestLimitShare(limit, instances, rank);
                CPPUNIT_ASSERT(share.interval > requestLimitInterval);
                sum += share.requests;
                most = std::max(most, share.requests);
                least = std::min(least, share.requests);
            }
            const rate_share first = requestLimitShare(limit, instances, 0);
            const double assigned = std::max(limit, minRequestLimit)
                * std::chrono::duration<double>(first.interval).count()
                * (instances == 1 ? 1 : limitOvercommitment);
            const std::string message
                = fmt::format("seed {}: {} of {} for {}", seed, sum, assigned, instances);
            CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(sum) <= assigned);
            // What the users allow in 4 s.
            CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(sum) <= 1.5 * limit * 4 + 5);
            CPPUNIT_ASSERT_MESSAGE(message, static_cast<double>(sum) >= std::floor(limit * 4));
            CPPUNIT_ASSERT_MESSAGE(message, sum >= 1 && most - least <= 1);
        }
        for (const double limit : {0.0, 0.01, minRequestLimit})
            CPPUNIT_ASSERT(requestLimitShare(limit, 1, 0).interval >= 10s);
    }

    // Guards against instances without contact that all check a limit at the same time, or too
    // often.
    void probesOfARequestLimitStayBelowAQuarterOfIt()
    {
        for (const std::size_t instances : {2U, 11U, 60U, 185U, 5'900U})
            for (const double limit : {0.5, 1.0, 3.0, 10.0}) {
                std::vector<steady_time> sent;
                for (std::size_t rank = 0; rank < instances; ++rank) {
                    const auto interval = limitProbeShare(limit, instances, rank).interval;
                    for (auto at = start + interval; at < start + 20min; at += interval)
                        sent.push_back(at);
                }
                CPPUNIT_ASSERT(static_cast<double>(mostWithin(sent, 4s)) <= 0.25 * limit * 4 + 5);
            }
    }

    void unknownInstancesGetNoShare()
    {
        CPPUNIT_ASSERT_EQUAL(0U, coldStartShare({}, "entry-0", "upstream", "near", 20).requests);
        CPPUNIT_ASSERT_EQUAL(
            0U, coldStartShare(instancesIn(3), "other", "upstream", "near", 20).requests);
    }

    // Guards against retries that are within the limit on each instance but exceed it together.
    void retriesStayWithinSharedBudget()
    {
        constexpr auto window = 10s;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t count = 1 + random() % 12;
            const shared_retry_budget::limits limits{0.2, 60, window};
            std::vector<shared_retry_budget> budgets(count, shared_retry_budget(limits));
            std::vector<steady_time> requests;
            std::vector<steady_time> retries;
            for (auto now = start; now < start + 25s; now += 20ms) {
                shared_retry_budget &budget = budgets[random() % count];
                budget.recordRequest(now);
                requests.push_back(now);
                // All attempts fail, so each request is retried as often as the budget allows, up
                // to three times.
                for (int i = 0; i < 3; ++i)
                    if (budget.tryRetry(now, count))
                        retries.push_back(now);
            }
            const double bound = 0.2 * static_cast<double>(mostWithin(requests, window)) + 60;
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                   static_cast<double>(mostWithin(retries, window)) <= bound);
            CPPUNIT_ASSERT(!retries.empty());
        }
    }

    void regionSharesMoveByAStepAtMost()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            region_share::limits limits;
            region_share share("a", limits);
            std::map<std::string, region_state> regions
                = {{"a", {8, 4, 0}}, {"b", {32, 3, 0}}, {"c", {40, 4, 0}}};
            share.update(regions, start);
            auto before = share.shares();
            for (auto now = start; now < start + 60s; now += 200ms) {
                for (auto &[region, state] : regions)
                    state.utilization = static_cast<double>(random() % 300) / 100;
                share.update(regions, now);
                double moved = 0;
                double total = 0;
                for (const auto &[region, value] : share.shares()) {
                    moved += std::abs(value - before[region]);
                    total += value;
                    CPPUNIT_ASSERT(value >= -1e-9);
                }
                // A move between two other regions counts twice, once for each region.
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                       moved <= 2 * limits.step + 1e-9);
                CPPUNIT_ASSERT(total <= 1 + 1e-9);
                before = share.shares();
            }
        }
    }

    void lostRegionMovesEverything()
    {
        region_share share("a", {});
        std::map<std::string, region_state> regions = {{"a", {8, 1, 0.2}}, {"b", {32, 1, 0.2}}};
        share.update(regions, start);
        regions["a"].slots = 0;
        share.update(regions, start + 10ms);
        for (std::uint64_t object = 0; object < 100; ++object)
            CPPUNIT_ASSERT_EQUAL(std::string("b"), share.choose(object));
        regions["a"].slots = 8;
        share.update(regions, start + 20ms);
        CPPUNIT_ASSERT(share.shares().at("b") < 1);
    }

    // Guards against overloading a region with few upstreams by sending it all requests of its
    // callers at startup.
    void startFollowsSlotsAndCallers()
    {
        const std::map<std::string, region_state> regions
            = {{"a", {10, 20, 0}}, {"b", {40, 20, 0}}, {"c", {50, 20, 0}}};
        region_share few("a", {});
        few.update(regions, start);
        // With a tenth of the slots and a third of the callers, 0.3 of the requests stay.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7, few.shares().at("b") + few.shares().at("c"), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7 * 0.2 / 0.7, few.shares().at("b"), 1e-9);
        // Guards against keeping shares that were computed when only the first instances had
        // reported.
        region_share early("b", {});
        early.update({{"a", {10, 0, 0}}, {"b", {40, 1, 0}}, {"c", {50, 0, 0}}}, start);
        CPPUNIT_ASSERT(!early.shares().empty());
        early.update(regions, start + 1s);
        CPPUNIT_ASSERT(early.shares().empty());
        region_share many("c", {});
        many.update(regions, start);
        CPPUNIT_ASSERT(many.shares().empty());
    }

    // Guards against callers that are still served by other regions, at the cost of a round trip,
    // when their own region has capacity again.
    void requestsReturnWhenOwnRegionHasCapacity()
    {
        region_share share("a", {});
        std::map<std::string, region_state> regions
            = {{"a", {8, 4, 0.3}}, {"b", {32, 3, 0.2}}, {"c", {40, 4, 0.2}}};
        share.update(regions, start);
        CPPUNIT_ASSERT(share.shares().at("b") > 0.1);
        for (auto now = start; now < start + 120s; now += 200ms)
            share.update(regions, now);
        CPPUNIT_ASSERT(share.shares().empty());
        // The shares do not change before the first requests, which would otherwise all reach cold
        // upstreams in the own region.
        region_share idle("a", {});
        regions["a"].utilization = 0;
        idle.update(regions, start);
        const auto atStart = idle.shares();
        for (auto now = start; now < start + 20s; now += 200ms)
            CPPUNIT_ASSERT(!idle.update(regions, now));
        CPPUNIT_ASSERT(idle.shares() == atStart);
        regions["a"].utilization = 0.9;
        share.update(regions, start + 130s);
        CPPUNIT_ASSERT(!share.shares().empty());
        // The shares do not change between lowUtilization and highUtilization.
        const auto before = share.shares();
        regions["a"].utilization = 0.6;
        CPPUNIT_ASSERT(!share.update(regions, start + 140s));
        CPPUNIT_ASSERT(share.shares() == before);
    }

    // Guards against a small change of shares that moves most objects to upstreams that are cold
    // for them.
    void changeOfSharesMovesFewObjects()
    {
        region_share share("a", {});
        std::map<std::string, region_state> regions
            = {{"a", {32, 1, 1.5}}, {"b", {32, 1, 0.1}}, {"c", {32, 1, 0.1}}};
        share.update(regions, start);
        constexpr std::uint64_t objects = 4'000;
        std::vector<std::string> before;
        for (std::uint64_t object = 0; object < objects; ++object)
            before.push_back(share.choose(object));
        CPPUNIT_ASSERT(share.update(regions, start + 3s));
        std::size_t moved = 0;
        for (std::uint64_t object = 0; object < objects; ++object)
            moved += share.choose(object) == before[object] ? 0 : 1;
        CPPUNIT_ASSERT(moved > 0);
        CPPUNIT_ASSERT(static_cast<double>(moved) / objects < 2 * region_share::limits().step);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_budgets_test);
