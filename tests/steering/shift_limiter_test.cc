#include "steering/shift_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

shift_sample sampleOf(std::uint32_t load, std::uint32_t slots, bool good)
{
    return {load, slots, good ? 10ms : 10s, 0.0};
}

} // namespace

class shift_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shift_limiter_test);
    CPPUNIT_TEST(neverGrowsByMoreThanCapInAnyWindow);
    CPPUNIT_TEST(instancesTogetherKeepCapDespiteLateShares);
    CPPUNIT_TEST(remembersDipForWholeInterval);
    CPPUNIT_TEST(reachesDemandWithGoodMeasurements);
    CPPUNIT_TEST(holdsAndStepsBackWithoutOscillation);
    CPPUNIT_TEST(missingMeasurementsHold);
    CPPUNIT_TEST(cachedAnswersAreNotRefusedLater);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against growth by more than one step within an interval, as could happen around an
    // interval boundary, after a dip in load, or with late updates. Compares all pairs of samples
    // that are at most one interval apart.
    void neverGrowsByMoreThanCapInAnyWindow()
    {
        std::size_t atLimit = 0;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            profile rules;
            rules.shiftCap = std::array{0.01, 0.1, 0.3}[seed % 3];
            rules.shiftInterval = std::array{1s, 10s, 60s}[seed / 3 % 3];
            const auto slots = static_cast<std::uint32_t>(random() % 300);
            const std::uint32_t step
                = std::max(1U, static_cast<std::uint32_t>(rules.shiftCap * slots + 1e-9));
            shift_limiter limiter;
            std::vector<std::pair<steady_time, std::uint32_t>> history;
            steady_time now = start;
            std::uint32_t demand = 0;
            std::uint32_t limit = static_cast<std::uint32_t>(random() % 20);
            for (int i = 0; i < 400; ++i) {
                if (random() % 20 == 0)
                    demand = static_cast<std::uint32_t>(random() % 400);
                const auto load = std::min(
                    limit, demand - std::min(demand, static_cast<std::uint32_t>(random() % 10)));
                atLimit += load == limit ? 1 : 0;
                history.emplace_back(now, load);
                for (const auto &[at, earlier] : history) {
                    if (now - at <= rules.shiftInterval)
                        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {} sample {}", seed, i),
                                               load <= earlier + step);
                }
                limit = limiter.update(sampleOf(load, slots, random() % 8 != 0), rules, now).limit;
                now += random() % 10 == 0 ? 3500ms
                                          : std::chrono::milliseconds(900 + random() % 200);
            }
        }
        CPPUNIT_ASSERT(atLimit > 10'000);
    }

    // Guards against load that drops and returns before the lower limit has reached the instances.
    void instancesTogetherKeepCapDespiteLateShares()
    {
        std::uint32_t highest = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            const profile rules;
            const std::uint32_t slots = 40 + static_cast<std::uint32_t>(random() % 200);
            const std::uint32_t step = shiftStep(rules.shiftCap, slots);
            const std::uint32_t count = 1 + static_cast<std::uint32_t>(random() % 6);
            std::vector<shift_admission> instances(count);
            shift_limiter limiter;
            std::vector<std::uint32_t> sums;
            std::uint32_t demand = 0;
            for (int second = 0; second < 300; ++second) {
                const steady_time now = start + 1s * second;
                if (random() % 10 == 0)
                    demand = static_cast<std::uint32_t>(random() % 60);
                std::uint32_t sum = 0;
                for (std::uint32_t i = 0; i < count; ++i) {
                    const std::uint32_t peak
                        = random() % 15 == 0 ? 0 : std::min(demand, instances[i].limit());
                    sum += peak;
                    instances[i].recordPeak(peak, stepShare(step, count, i), rules.shiftInterval,
                                            now);
                    // Shares arrive late or not at all.
                    if (random() % 3 == 0)
                        instances[i].setShare(limiter.limit());
                }
                limiter.update(sampleOf(sum, slots, random() % 30 != 0), rules, now);
                sums.push_back(sum);
                highest = std::max(highest, sum);
                for (int back = 0; back <= std::min(second, 10); ++back)
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {} second {}", seed, second),
                                           sum <= sums[sums.size() - 1 - back] + step);
            }
        }
        CPPUNIT_ASSERT(highest > 40);
    }

    // Guards against a dip in load that expires early because it shares a bucket with an older
    // sample.
    void remembersDipForWholeInterval()
    {
        profile rules;
        rules.shiftInterval = 60s;
        shift_limiter limiter;
        limiter.update(sampleOf(20, 100, true), rules, start);
        limiter.update(sampleOf(10, 100, true), rules, start + 1s);
        for (int second = 2; second < 60; ++second)
            limiter.update(sampleOf(20, 100, true), rules, start + 1s * second);
        limiter.update(sampleOf(20, 100, true), rules, start + 60500ms);
        CPPUNIT_ASSERT(limiter.limit() <= 20);
        limiter.update(sampleOf(20, 100, true), rules, start + 64s);
        CPPUNIT_ASSERT(limiter.limit() > 20);
    }

    // Guards against a limit that never admits the full load of a failed region.
    void reachesDemandWithGoodMeasurements()
    {
        const profile rules; // 10% per 10 s
        shift_limiter limiter;
        std::uint32_t load = 0;
        int seconds = 0;
        for (; load < 50 && seconds < 300; ++seconds) {
            const auto decision
                = limiter.update(sampleOf(load, 100, true), rules, start + 1s * seconds);
            load = std::min(50U, decision.limit);
        }
        CPPUNIT_ASSERT_EQUAL(50U, load);
        CPPUNIT_ASSERT(seconds >= 40 && seconds <= 70);
    }

    // Guards against a limit that oscillates with single bad or good samples.
    void holdsAndStepsBackWithoutOscillation()
    {
        const profile rules;
        shift_limiter limiter;
        std::uint32_t load = 40;
        std::vector<std::uint32_t> limits;
        for (int second = 0; second < 150; ++second) {
            const auto decision
                = limiter.update(sampleOf(load, 100, second < 10), rules, start + 1s * second);
            load = std::min(load, decision.limit);
            limits.push_back(decision.limit);
        }
        // The limit never rises while measurements are bad, and falls by one step per four
        // intervals: two bad ones and two on hold.
        CPPUNIT_ASSERT(std::ranges::is_sorted(limits, std::greater()));
        std::ranges::sort(limits);
        const auto repeated = std::ranges::unique(limits);
        limits.erase(repeated.begin(), repeated.end());
        CPPUNIT_ASSERT(limits.size() >= 3 && limits.size() <= 5);
    }

    void missingMeasurementsHold()
    {
        const profile rules;
        shift_limiter limiter;
        for (int second = 0; second <= 100; ++second)
            limiter.update(
                {static_cast<std::uint32_t>(std::min(second, 10)), 100, std::nullopt, std::nullopt},
                rules, start + 1s * second);
        CPPUNIT_ASSERT(limiter.limit() <= 10);
    }

    // Guards against refusing requests of callers that use a cached answer.
    void cachedAnswersAreNotRefusedLater()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::mt19937_64 random(seed);
            shift_admission admission;
            admission.setShare(20);
            admission.recordPeak(0, 20, 10s, start);
            steady_time now = start;
            std::uint32_t inFlight = 0;
            std::vector<std::pair<steady_time, int>> cached; // expiry, requests still to come
            std::size_t refused = 0;
            std::size_t arrived = 0;
            for (int i = 0; i < 3000; ++i) {
                now += std::chrono::milliseconds(random() % 50);
                if (admission.mayGiveAnswer(1, inFlight, now)) {
                    admission.recordAnswer(1, 3s, now);
                    cached.emplace_back(now + 3s, 1);
                }
                // Each caller sends its one request at some time before its answer expires.
                std::erase_if(cached, [&](const auto &item) {
                    if (now < item.first - 100ms && random() % 20 != 0)
                        return false;
                    ++arrived;
                    if (admission.mayAdmit(inFlight))
                        ++inFlight;
                    else
                        ++refused;
                    return true;
                });
                CPPUNIT_ASSERT(inFlight <= 20);
                while (inFlight > 0 && random() % 4 == 0)
                    --inFlight;
            }
            CPPUNIT_ASSERT(arrived > 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shift_limiter_test);
