#include "steering/upstream_placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Reference for placeRequest(): sorts all candidates by score and takes the first with the lowest
// cost.
std::optional<std::size_t> placeRequestNaive(const std::vector<placement_candidate> &candidates,
                                             const placement_request &request)
{
    const std::uint64_t key = request.affinity.value_or(request.random);
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        order.emplace_back(candidates[i].slots
                               / std::log(toUnitInterval(combineHashes(candidates[i].hash, key))),
                           i);
    std::ranges::sort(order);
    std::optional<std::size_t> best;
    double bestMs = 0;
    for (std::size_t place = 0; place < order.size(); ++place) {
        const placement_candidate &candidate = candidates[order[place].second];
        const bool isFirst = place == 0;
        if (!isFirst && request.affinity && !candidate.isWarm
            && candidate.load + 1 > 0.7 * candidate.slots)
            continue;
        const double cost = expectedMs(candidate, request, isFirst);
        if (!best || cost < bestMs) {
            best = order[place].second;
            bestMs = cost;
        }
    }
    return best;
}

std::vector<placement_candidate> upstreams(std::size_t count)
{
    std::vector<placement_candidate> result(count);
    for (std::size_t i = 0; i < count; ++i) {
        result[i].hash = hashOf(fmt::format("u{}", i));
        result[i].slots = 4;
        result[i].serviceTime = 200ms;
    }
    return result;
}

placement_request requestFor(std::uint64_t object)
{
    return {hashOf(std::to_string(object)), 0, 500ms};
}

} // namespace

class upstream_placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_placement_test);
    CPPUNIT_TEST(agreesWithReference);
    CPPUNIT_TEST(lossMovesOnlyItsObjects);
    CPPUNIT_TEST(overloadCausesNoColdStarts);
    CPPUNIT_TEST(warmUpstreamIsUsedWhenPreferredIsFull);
    CPPUNIT_TEST_SUITE_END();

public:
    void agreesWithReference()
    {
        for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
            std::mt19937_64 random(seed);
            std::vector<placement_candidate> candidates = upstreams(random() % 9);
            for (placement_candidate &candidate : candidates) {
                candidate.slots = 1 + static_cast<double>(random() % 5);
                candidate.load = static_cast<double>(random() % 16);
                candidate.isWarm = random() % 3 == 0;
                candidate.failureShare = random() % 4 == 0 ? 0.3 : 0;
                candidate.roundTrip = random() % 2 == 0 ? 0ms : 115ms;
            }
            placement_request request = requestFor(random() % 50);
            if (random() % 4 == 0)
                request.affinity.reset();
            request.random = random();
            const auto placed = placeRequest(candidates, request);
            const auto naive = placeRequestNaive(candidates, request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), naive.has_value(),
                                         placed.has_value());
            if (naive)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), *naive, placed->index);
        }
    }

    // Guards against moving other objects than those of a lost upstream, which would be cold then.
    void lossMovesOnlyItsObjects()
    {
        const std::vector<placement_candidate> all = upstreams(8);
        std::vector<placement_candidate> rest(all.begin(), all.end() - 1);
        for (std::uint64_t object = 0; object < 1'000; ++object) {
            const std::size_t before = placeRequest(all, requestFor(object))->index;
            const std::size_t after = placeRequest(rest, requestFor(object))->index;
            if (before != 7)
                CPPUNIT_ASSERT_EQUAL(before, after);
        }
    }

    // Guards against an overload that sustains itself: the objects of a full preferred upstream
    // move to other full upstreams, where each cold start takes three times the work.
    void overloadCausesNoColdStarts()
    {
        std::vector<placement_candidate> full = upstreams(6);
        for (placement_candidate &candidate : full)
            candidate.load = 12;
        for (std::uint64_t object = 0; object < 200; ++object) {
            const std::size_t first = placeRequest(upstreams(6), requestFor(object))->index;
            std::vector<placement_candidate> loaded = full;
            loaded[first].load = 40;
            CPPUNIT_ASSERT_EQUAL(first, placeRequest(loaded, requestFor(object))->index);
        }
    }

    void warmUpstreamIsUsedWhenPreferredIsFull()
    {
        for (std::uint64_t object = 0; object < 200; ++object) {
            std::vector<placement_candidate> candidates = upstreams(6);
            const std::size_t first = placeRequest(candidates, requestFor(object))->index;
            const std::size_t copy = (first + 1) % 6;
            candidates[copy].isWarm = true;
            CPPUNIT_ASSERT_EQUAL(first, placeRequest(candidates, requestFor(object))->index);
            candidates[first].load = 8;
            CPPUNIT_ASSERT_EQUAL(copy, placeRequest(candidates, requestFor(object))->index);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_placement_test);
