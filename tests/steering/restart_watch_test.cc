#include "steering/restart_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);
constexpr auto coldPeriod = 3s;

} // namespace

class restart_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_watch_test);
    CPPUNIT_TEST(earlierConnectionShowsTheSameProcess);
    CPPUNIT_TEST(connectionOfTheNextProcessShowsNothing);
    CPPUNIT_TEST(suspicionEnds);
    CPPUNIT_TEST(noticedRestartIsSuspectedWhileCold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a warm upstream that gets a cold one's rate for each answer that it breaks
    // off.
    void earlierConnectionShowsTheSameProcess()
    {
        restart_watch watch;
        watch.recordLoss(start + 2s, start + 3s);
        CPPUNIT_ASSERT(watch.isSuspected(start + 3s, coldPeriod));
        watch.recordResponse(start + 1s, start + 4s);
        CPPUNIT_ASSERT(!watch.isSuspected(start + 4s, coldPeriod));
    }

    // Guards against a connection to a restarted upstream that hides the restart, because it was
    // made before an old connection showed its end.
    void connectionOfTheNextProcessShowsNothing()
    {
        restart_watch watch;
        watch.recordLoss(start + 1s, start + 3s);
        watch.recordResponse(start + 2s, start + 4s);
        CPPUNIT_ASSERT(watch.isSuspected(start + 4s, coldPeriod));
        // A second loss, of a later connection, does not make that connection an earlier one.
        watch.recordLoss(start + 4s, start + 5s);
        watch.recordResponse(start + 2s, start + 5s);
        CPPUNIT_ASSERT(watch.isSuspected(start + 5s, coldPeriod));
    }

    void suspicionEnds()
    {
        restart_watch watch;
        CPPUNIT_ASSERT(!watch.isSuspected(start, coldPeriod));
        watch.recordLoss(start, start);
        CPPUNIT_ASSERT(watch.isSuspected(start + 7'999ms, coldPeriod));
        CPPUNIT_ASSERT(!watch.isSuspected(start + restart_watch::silence, coldPeriod));
        watch.recordResponse(start + 1s, start + 1s);
        CPPUNIT_ASSERT(watch.isSuspected(start + 3'999ms, coldPeriod));
        CPPUNIT_ASSERT(!watch.isSuspected(start + 4s, coldPeriod));
        CPPUNIT_ASSERT(!watch.isSuspected(start + 1s, 0s));
    }

    // Against an observer that knows the process behind each connection, over random histories of
    // restarts with a request now and then: once a loss was seen, no response of a process that
    // is cold leaves the watch without suspicion.
    void noticedRestartIsSuspectedWhileCold()
    {
        struct connection
        {
            steady_time connectedAt;
            steady_time heardAt;
            int process;
        };
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            restart_watch watch;
            std::vector<connection> open;
            int process = 0;
            int known = 0; // the newest process whose predecessor's end was noticed
            steady_time startedAt = start - 1h;
            steady_time downUntil = start;
            for (auto now = start; now < start + 60s; now += 50ms) {
                if (random() % 100 == 0) {
                    ++process;
                    downUntil = now + std::chrono::milliseconds(random() % 2'000);
                    startedAt = downUntil;
                }
                if (random() % 4 != 0)
                    continue;
                if (open.empty() || random() % 3 == 0) {
                    if (now < downUntil) {
                        watch.recordLoss(now, now);
                        known = process;
                        continue;
                    }
                    open.push_back({now, now, process});
                }
                connection &used = open[random() % open.size()];
                if (used.process != process || now < downUntil) {
                    watch.recordLoss(used.heardAt, now);
                    known = process;
                    std::swap(used, open.back());
                    open.pop_back();
                    continue;
                }
                used.heardAt = now;
                watch.recordResponse(used.connectedAt, now);
                if (known == process && process > 0 && now < startedAt + coldPeriod)
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                           watch.isSuspected(now, coldPeriod));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_watch_test);
