#include "steering/upstream_selector.h"
#include "tests/steering/upstream_selector_naive.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

upstream_tiers randomTiers(std::mt19937_64 &random, std::size_t count)
{
    std::vector<upstream_tiers::place> places;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = fmt::format("r{}", random() % 3);
        places.push_back(
            {fmt::format("u{}", i), region, fmt::format("{}{}", region, random() % 2)});
    }
    return {places, "r0", "r00"};
}

upstream_view randomView(std::mt19937_64 &random)
{
    upstream_view view;
    view.slots = static_cast<std::uint32_t>(random() % 5);
    view.inFlight = static_cast<std::uint32_t>(random() % 5);
    if (random() % 3 != 0)
        view.latency = std::chrono::microseconds(random() % 50'000);
    constexpr std::array loads = {0.0,
                                  0.4,
                                  1.0,
                                  -3.0,
                                  1e9,
                                  std::numeric_limits<double>::infinity(),
                                  std::numeric_limits<double>::quiet_NaN()};
    if (random() % 2 == 0)
        view.reportedLoad = loads[random() % loads.size()];
    view.loadAge = std::chrono::milliseconds(random() % 10'000);
    view.slowStartFraction = random() % 4 == 0 ? 0.5 : 1;
    view.isEjected = random() % 6 == 0;
    view.isDrained = random() % 6 == 0;
    view.hasLinkBudget = random() % 6 != 0;
    view.isExcluded = random() % 6 == 0;
    return view;
}

} // namespace

class upstream_selector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_selector_test);
    CPPUNIT_TEST(agreesWithFullScanOnWhoMayBeChosen);
    CPPUNIT_TEST(reportedLoadOnlyRaisesScore);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against choosing an ineligible upstream, finding none although one is eligible, and
    // skipping a near tier that has eligible upstreams. If the tier has at most two of them, the
    // choice must have the same score as that of the reference.
    void agreesWithFullScanOnWhoMayBeChosen()
    {
        std::size_t chosen = 0;
        for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
            std::mt19937_64 random(seed);
            const upstream_tiers tiers = randomTiers(random, random() % 12);
            std::vector<upstream_view> views;
            for (std::size_t i = 0; i < tiers.places().size(); ++i)
                views.push_back(randomView(random));
            const selection_weights weights{0.5, 0.5};
            const std::uint64_t draw = random();
            const selection_decision actual = selectUpstream(tiers, views, weights, draw);
            const auto best = selectUpstreamNaive(tiers, views, weights);
            CPPUNIT_ASSERT_EQUAL(best.has_value(), actual.upstream.has_value());
            CPPUNIT_ASSERT(actual.upstream == selectUpstream(tiers, views, weights, draw).upstream);
            if (!best)
                continue;
            ++chosen;
            CPPUNIT_ASSERT(ineligibleReason(views[*actual.upstream]).empty());
            for (std::size_t tier = 0; tier < upstream_tiers::tierCount; ++tier) {
                const auto members = tiers.tier(tier);
                for (const std::uint32_t index : members) {
                    const upstream_tiers::place &place = tiers.places()[index];
                    CPPUNIT_ASSERT_EQUAL(tier == 0, place.failureDomain == "r00");
                    CPPUNIT_ASSERT_EQUAL(tier < 2, place.region == "r0");
                }
                const bool hasBest = std::ranges::count(members, *best) > 0;
                CPPUNIT_ASSERT_EQUAL(hasBest, std::ranges::count(members, *actual.upstream) > 0);
                const auto eligible = std::ranges::count_if(members, [&](std::uint32_t index) {
                    return ineligibleReason(views[index]).empty();
                });
                if (hasBest && eligible <= 2)
                    CPPUNIT_ASSERT_EQUAL(selectionScore(views[*best], weights),
                                         selectionScore(views[*actual.upstream], weights));
            }
        }
        CPPUNIT_ASSERT(chosen > 5000);
    }

    // Guards against a reported load that adds capacity, and old or invalid loads that are used.
    void reportedLoadOnlyRaisesScore()
    {
        const selection_weights weights{0.5, 0.5};
        upstream_view view;
        view.slots = 4;
        view.inFlight = 4;
        view.reportedLoad = 0;
        CPPUNIT_ASSERT_EQUAL(std::string_view("no-free-slot"), ineligibleReason(view));
        view.inFlight = 2;
        const double plain = selectionScore(view, weights);
        view.reportedLoad.reset();
        CPPUNIT_ASSERT_EQUAL(plain, selectionScore(view, weights));
        view.reportedLoad = 0.9;
        CPPUNIT_ASSERT(selectionScore(view, weights) > plain);
        view.loadAge = 6s;
        CPPUNIT_ASSERT_EQUAL(plain, selectionScore(view, weights));
        view.loadAge = 0s;
        view.reportedLoad = 7;
        CPPUNIT_ASSERT_EQUAL(plain, selectionScore(view, weights));
        view.slowStartFraction = 0.25;
        CPPUNIT_ASSERT_EQUAL(std::string_view("slow-start"), ineligibleReason(view));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_selector_test);
