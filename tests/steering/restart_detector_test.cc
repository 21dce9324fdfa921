#include "steering/restart_detector.h"

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

class restart_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_detector_test);
    CPPUNIT_TEST(responseOnOlderConnectionEndsSuspicion);
    CPPUNIT_TEST(connectionToNewProcessKeepsSuspicion);
    CPPUNIT_TEST(suspicionEnds);
    CPPUNIT_TEST(noticedRestartIsSuspectedWhileCold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against limiting a warm upstream to the rate of a cold one each time that it aborts a
    // response.
    void responseOnOlderConnectionEndsSuspicion()
    {
        restart_detector detector;
        detector.recordLoss(start + 2s, start + 3s);
        CPPUNIT_ASSERT(detector.isSuspected(start + 3s, coldPeriod));
        detector.recordResponse(start + 1s, start + 4s);
        CPPUNIT_ASSERT(!detector.isSuspected(start + 4s, coldPeriod));
    }

    // Guards against missing a restart when the first connection to the new process was established
    // before a connection to the old process was found closed.
    void connectionToNewProcessKeepsSuspicion()
    {
        restart_detector detector;
        detector.recordLoss(start + 1s, start + 3s);
        detector.recordResponse(start + 2s, start + 4s);
        CPPUNIT_ASSERT(detector.isSuspected(start + 4s, coldPeriod));
        // The loss of a second connection, with a later aliveAt, must not make a connection that
        // was established in between count as one to the previous process.
        detector.recordLoss(start + 4s, start + 5s);
        detector.recordResponse(start + 2s, start + 5s);
        CPPUNIT_ASSERT(detector.isSuspected(start + 5s, coldPeriod));
    }

    void suspicionEnds()
    {
        restart_detector detector;
        CPPUNIT_ASSERT(!detector.isSuspected(start, coldPeriod));
        detector.recordLoss(start, start);
        CPPUNIT_ASSERT(detector.isSuspected(start + 7'999ms, coldPeriod));
        CPPUNIT_ASSERT(
            !detector.isSuspected(start + restart_detector::suspicionTimeout, coldPeriod));
        detector.recordResponse(start + 1s, start + 1s);
        CPPUNIT_ASSERT(detector.isSuspected(start + 3'999ms, coldPeriod));
        CPPUNIT_ASSERT(!detector.isSuspected(start + 4s, coldPeriod));
        CPPUNIT_ASSERT(!detector.isSuspected(start + 1s, 0s));
    }

    // Random histories of restarts and requests, compared with a model that knows the process at
    // the other end of each connection. After a loss was recorded, a restart must be suspected at
    // each response of a process that is still cold.
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
            restart_detector detector;
            std::vector<connection> open;
            int process = 0;
            int known = 0; // The newest process for which the end of the previous one was noticed.
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
                        detector.recordLoss(now, now);
                        known = process;
                        continue;
                    }
                    open.push_back({now, now, process});
                }
                connection &used = open[random() % open.size()];
                if (used.process != process || now < downUntil) {
                    detector.recordLoss(used.heardAt, now);
                    known = process;
                    std::swap(used, open.back());
                    open.pop_back();
                    continue;
                }
                used.heardAt = now;
                detector.recordResponse(used.connectedAt, now);
                if (known == process && process > 0 && now < startedAt + coldPeriod)
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                           detector.isSuspected(now, coldPeriod));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_detector_test);
