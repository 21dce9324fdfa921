#include "steering/link_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

} // namespace

class link_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_budget_test);
    CPPUNIT_TEST(linkStaysWithinRate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending more bytes than the share of a link allows, for random sizes and
    // times.
    void linkStaysWithinRate()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::mt19937_64 random(seed);
            constexpr std::uint64_t rate = 1'000'000;
            link_budget budget(rate * 4, 0.25, start);
            steady_time now = start;
            double sent = 0;
            for (int i = 0; i < 2000; ++i) {
                now += std::chrono::microseconds(random() % 20'000);
                if (!budget.mayStart(now)) {
                    CPPUNIT_ASSERT(budget.delay(now) > 0s);
                    CPPUNIT_ASSERT(budget.mayStart(now + budget.delay(now)));
                    continue;
                }
                const std::uint64_t bytes = random() % 65'536;
                budget.take(bytes, now);
                sent += static_cast<double>(bytes);
                const double elapsed = std::chrono::duration<double>(now - start).count();
                // Allows for the burst and for one chunk that was started with a positive balance.
                CPPUNIT_ASSERT(sent <= rate * (elapsed + 0.1) + 65'536);
            }
            CPPUNIT_ASSERT(sent > 0.9 * rate * std::chrono::duration<double>(now - start).count());
        }
        // Idle time does not raise the balance above the burst.
        link_budget idle(1'000'000, 1, start);
        CPPUNIT_ASSERT(idle.balance(start + 1h) <= 100'000);
        link_budget closed(1'000'000, 0, start);
        CPPUNIT_ASSERT(!closed.mayStart(start + 1h));
        CPPUNIT_ASSERT(closed.delay(start) == std::chrono::nanoseconds::max());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_budget_test);
