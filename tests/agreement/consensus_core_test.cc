#include "tests/agreement/history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace buckthorngrade;

namespace {

// Sanitizers make a history ten to thirty times slower.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t histories = 600;
#else
constexpr std::uint64_t histories = 12'000;
#endif
constexpr std::uint64_t firstSeed = 1;

} // namespace

class consensus_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(consensus_core_test);
    CPPUNIT_TEST(keepsItsRulesInRandomHistories);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost or changed commits, two leaders, stale reads and early votes.
    void keepsItsRulesInRandomHistories()
    {
        if (const char *seed = std::getenv("BG_HISTORY_SEED")) {
            history replayed(std::strtoull(seed, nullptr, 10), true);
            replayed.run();
            return;
        }
        std::atomic<std::uint64_t> next = firstSeed;
        std::mutex mutex;
        std::vector<std::string> failures;
        history::coverage total;
        const auto worker = [&] {
            for (std::uint64_t seed = next++; seed < firstSeed + histories; seed = next++) {
                history one(seed);
                std::string what;
                try {
                    one.run();
                } catch (const std::exception &e) {
                    what = std::to_string(seed) + ": " + e.what();
                }
                const std::lock_guard lock(mutex);
                if (!what.empty())
                    failures.push_back(what);
                const history::coverage &reached = one.reached();
                total.leaders += reached.leaders;
                total.commits += reached.commits;
                total.reads += reached.reads;
                total.crashes += reached.crashes;
                total.emptied += reached.emptied;
                total.promotions += reached.promotions;
                total.installs += reached.installs;
                total.recoveries += reached.recoveries;
            }
        };
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < std::clamp(std::thread::hardware_concurrency(), 1U, 4U); ++i)
            threads.emplace_back(worker);
        for (std::thread &thread : threads)
            thread.join();
        std::cout << histories << " histories from seed " << firstSeed << ": " << total.leaders
                  << " leaders, " << total.commits << " commits, " << total.reads << " reads, "
                  << total.crashes << " crashes, " << total.emptied << " emptied disks, "
                  << total.promotions << " promotions, " << total.installs
                  << " installed snapshots, " << total.recoveries << " recoveries" << std::endl;
        std::ranges::sort(failures);
        for (std::size_t i = 0; i < std::min<std::size_t>(failures.size(), 10); ++i)
            std::cerr << failures[i] << "\n  replay: BG_HISTORY_SEED="
                      << failures[i].substr(0, failures[i].find(':'))
                      << " ./build/test_agreement keepsItsRulesInRandomHistories\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failures.size()) + " histories failed",
                               failures.empty());
        // Guards against a generator that no longer reaches the hard cases.
        CPPUNIT_ASSERT(total.leaders > histories && total.commits > histories * 10);
        CPPUNIT_ASSERT(total.reads > histories && total.crashes > histories);
        CPPUNIT_ASSERT(total.promotions > histories / 20 && total.installs > histories / 20);
        CPPUNIT_ASSERT(total.recoveries > histories / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_core_test);
