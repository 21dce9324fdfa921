#include "control/node_roster.h"
#include "steering/cold_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);
constexpr auto step = 10ms;
constexpr auto pollPeriod = 500ms;

boot_time bootTimeOf(steady_time time)
{
    return boot_time(time.time_since_epoch());
}

// Entry instances that learn of each other through control instances, all of which restart and are
// cut off at random, and one cold upstream that they always want to use.
class history
{
public:
    history(std::uint64_t seed, std::size_t entries, double bound)
        : m_random(seed)
        , m_bound(bound)
    {
        for (std::size_t i = 0; i < entries; ++i)
            m_entries.emplace_back(fmt::format("entry-{}", i));
        m_controls.resize(3);
    }

    // Largest number of requests in a second, counted over all entry instances.
    std::size_t mostInASecond(std::chrono::seconds length)
    {
        for (steady_time now = start; now < start + length; now += step) {
            disturb(now);
            for (entry &each : m_entries)
                run(each, now);
        }
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; first < m_sent.size(); ++first) {
            while (last < m_sent.size() && m_sent[last] - m_sent[first] < 1s)
                ++last;
            most = std::max(most, last - first);
        }
        return most;
    }
    std::size_t sent() const { return m_sent.size(); }

private:
    struct entry
    {
        explicit entry(std::string instance)
            : name(std::move(instance))
            , peers(name)
        { }

        std::string name;
        peer_view peers;
        cold_gate gate;
        std::uint64_t incarnation = 1;
        steady_time upAt = start;
        steady_time reachableAt = start;
        steady_time nextPoll = start;
    };
    struct control
    {
        node_roster roster;
        steady_time upAt = start;
    };

    bool oneIn(std::uint64_t count) { return m_random() % count == 0; }
    std::chrono::milliseconds upTo(std::uint64_t ms)
    {
        return std::chrono::milliseconds(m_random() % ms);
    }

    void disturb(steady_time now)
    {
        for (std::unique_ptr<control> &each : m_controls)
            if (!each || oneIn(400)) {
                each = std::make_unique<control>();
                each->upAt = now == start ? now : now + upTo(1'000);
            }
        for (entry &each : m_entries) {
            if (oneIn(600)) {
                const std::uint64_t next = each.incarnation + 1;
                each = entry(each.name);
                each.incarnation = next;
                each.upAt = each.nextPoll = now + 200ms + upTo(2'000);
            }
            if (oneIn(600))
                each.reachableAt = now + upTo(9'000);
        }
    }

    void run(entry &each, steady_time now)
    {
        if (now < each.upAt)
            return;
        if (now >= each.nextPoll) {
            each.nextPoll = now + pollPeriod;
            if (now >= each.reachableAt)
                poll(each, now);
        }
        const std::uint32_t share = each.peers.mayUseShares(bootTimeOf(now))
            ? coldShare(each.peers.peers(), each.name, "upstream", "r", m_bound)
            : 0;
        if (each.gate.tryReserve(now, share)) {
            each.gate.recordSent(now);
            m_sent.push_back(now);
        }
    }

    // Reports to all control instances; any of them answers with the peers.
    void poll(entry &each, steady_time now)
    {
        const std::size_t asked = m_random() % m_controls.size();
        for (std::size_t i = 0; i < m_controls.size(); ++i) {
            control &to = *m_controls[i];
            if (now < to.upAt)
                continue;
            wire::node_report report;
            report.set_instance(each.name);
            report.set_incarnation(each.incarnation);
            report.set_region("r");
            report.set_period_ms(pollPeriod.count());
            to.roster.update(report, now);
            if (i != asked)
                continue;
            std::vector<peer_instance> named;
            for (const node_roster::entry &known : to.roster.live(now))
                named.push_back({known.instance, known.region});
            each.peers.update(named, bootTimeOf(now));
        }
    }

    std::mt19937_64 m_random;
    const double m_bound;
    std::vector<entry> m_entries;
    std::vector<std::unique_ptr<control>> m_controls;
    std::vector<steady_time> m_sent;
};

} // namespace

// Bounds of all entry instances together, over random histories and against one count of all.
class shared_bounds_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_bounds_history_test);
    CPPUNIT_TEST(coldRateHoldsWhileInstancesRestartAndAreCutOff);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares that instances use beside each other, each with peers of its own.
    void coldRateHoldsWhileInstancesRestartAndAreCutOff()
    {
        std::size_t sent = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const std::size_t entries = 1 + seed * 7 % 30;
            const double bound = 6 + static_cast<double>(seed % 16);
            history run(seed, entries, bound);
            const auto most = static_cast<double>(run.mostInASecond(40s));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} of {}", seed, most, bound),
                                   most <= bound);
            sent += run.sent();
        }
        CPPUNIT_ASSERT(sent > 10'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_bounds_history_test);
