#include "control/entry_instance_table.h"
#include "steering/shared_rate_limiter.h"
#include "steering/shared_retry_budget.h"
#include "testing/sliding_window.h"

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

constexpr auto retryWindow = 10s;
// The users excuse instances that restart or are cut off.
constexpr auto settlingTime = 4s;
// The share of requests that may be retried is zero, so that only the allowance permits retries.
const shared_retry_budget::limits retryLimits{0, 60, retryWindow};

// Simulates entry instances that discover each other through control instances. All instances
// restart at random, and entry instances lose contact with the control instances at random. Every
// entry instance constantly tries to send to one cold upstream and to retry requests.
class simulation
{
public:
    simulation(std::uint64_t seed, std::size_t entries, double bound)
        : m_random(seed)
        , m_bound(bound)
    {
        for (std::size_t i = 0; i < entries; ++i)
            m_entries.emplace_back(fmt::format("entry-{}", i));
        m_controls.resize(3);
    }

    void simulate(std::chrono::seconds length)
    {
        for (steady_time now = start; now < start + length; now += step) {
            injectFaults(now);
            for (entry &each : m_entries)
                advanceEntry(each, now);
        }
    }
    // Times over all entry instances.
    const std::vector<steady_time> &coldSends() const { return m_coldSends; }
    const std::vector<steady_time> &retries() const { return m_retries; }
    // Requests of instances whose process runs for `settlingTime` and that were not cut off in that
    // time, to an upstream that takes `bound` per second.
    const std::vector<steady_time> &limitedSends() const { return m_limitedSends; }

private:
    struct entry
    {
        explicit entry(std::string instance)
            : name(std::move(instance))
            , peers(name)
        { }

        std::string name;
        peer_view peers;
        shared_rate_limiter gate;
        shared_rate_limiter limitGate;
        shared_retry_budget budget{retryLimits};
        std::uint64_t incarnation = 1;
        steady_time runningFrom = start;
        steady_time reachableFrom = start;
        steady_time nextPoll = start;
    };
    struct control
    {
        entry_instance_table table;
        steady_time runningFrom = start;
    };

    bool oneIn(std::uint64_t count) { return m_random() % count == 0; }
    std::chrono::milliseconds randomDelay(std::uint64_t ms)
    {
        return std::chrono::milliseconds(m_random() % ms);
    }

    void injectFaults(steady_time now)
    {
        for (std::unique_ptr<control> &each : m_controls)
            if (!each || oneIn(400)) {
                each = std::make_unique<control>();
                each->runningFrom = now == start ? now : now + randomDelay(1'000);
            }
        for (entry &each : m_entries) {
            if (oneIn(600)) {
                const std::uint64_t next = each.incarnation + 1;
                each = entry(each.name);
                each.incarnation = next;
                each.runningFrom = each.nextPoll = now + 200ms + randomDelay(2'000);
            }
            if (oneIn(600))
                each.reachableFrom = now + randomDelay(9'000);
        }
    }

    void advanceEntry(entry &each, steady_time now)
    {
        if (now < each.runningFrom)
            return;
        if (now >= each.nextPoll) {
            each.nextPoll = now + pollPeriod;
            if (now >= each.reachableFrom)
                poll(each, now);
        }
        const rate_share share = each.peers.mayUseShares(bootTimeOf(now))
            ? coldStartShare(each.peers.peers(), each.name, "upstream", "r", m_bound)
            : rate_share{};
        if (each.gate.tryReserve(now, share)) {
            each.gate.recordSent(now);
            m_coldSends.push_back(now);
        }
        const auto rank = shareRank(each.peers.peers(), each.name, "upstream", "r");
        const rate_share limitShare = rank && each.peers.hasJoined()
            ? requestLimitShare(m_bound, each.peers.peers().size(), *rank)
            : rate_share{};
        if (each.limitGate.tryReserve(now, limitShare)) {
            each.limitGate.recordSent(now);
            if (now - each.runningFrom >= settlingTime && now - each.reachableFrom >= settlingTime)
                m_limitedSends.push_back(now);
        }
        const bool mayRetry = each.peers.mayUseShares(bootTimeOf(now), retryWindow);
        if (each.budget.tryRetry(now, mayRetry ? each.peers.peers().size() : 0))
            m_retries.push_back(now);
    }

    // Reports to all control instances; one of them, chosen at random, replies with the peers.
    void poll(entry &each, steady_time now)
    {
        const std::size_t asked = m_random() % m_controls.size();
        for (std::size_t i = 0; i < m_controls.size(); ++i) {
            control &to = *m_controls[i];
            if (now < to.runningFrom)
                continue;
            wire::node_report report;
            report.set_instance(each.name);
            report.set_incarnation(each.incarnation);
            report.set_region("r");
            report.set_period_ms(pollPeriod.count());
            to.table.update(report, now);
            if (i != asked)
                continue;
            std::vector<peer_instance> named;
            for (const entry_instance_table::entry &known : to.table.live(now))
                named.push_back({known.instance, known.region});
            each.peers.update(named, bootTimeOf(now));
        }
    }

    std::mt19937_64 m_random;
    const double m_bound;
    std::vector<entry> m_entries;
    std::vector<std::unique_ptr<control>> m_controls;
    std::vector<steady_time> m_coldSends;
    std::vector<steady_time> m_retries;
    std::vector<steady_time> m_limitedSends;
};

} // namespace

// Checks the bounds that apply to the sum over all entry instances, in random simulations that
// count the events of all instances together.
class shared_bounds_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_bounds_history_test);
    CPPUNIT_TEST(coldRateHoldsWhileInstancesRestartAndAreCutOff);
    CPPUNIT_TEST(retryAllowanceHoldsWhileInstancesRestartAndAreCutOff);
    CPPUNIT_TEST(requestLimitHoldsWhileInstancesRestartAndAreCutOff);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares whose sum exceeds the bound because the instances compute them from
    // different sets of peers.
    void coldRateHoldsWhileInstancesRestartAndAreCutOff()
    {
        std::size_t sent = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const std::size_t entries = 1 + seed * 7 % 30;
            const double bound = 6 + static_cast<double>(seed % 16);
            simulation run(seed, entries, bound);
            run.simulate(40s);
            const auto most = static_cast<double>(mostWithin(run.coldSends(), 1s));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} of {}", seed, most, bound),
                                   most <= bound);
            sent += run.coldSends().size();
        }
        CPPUNIT_ASSERT(sent > 10'000);
    }

    // Guards against an instance that uses its part of the allowance again after a restart, or
    // takes too large a part because a control instance names only few peers.
    void retryAllowanceHoldsWhileInstancesRestartAndAreCutOff()
    {
        std::size_t retries = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            simulation run(seed, 1 + seed * 7 % 30, 10);
            run.simulate(60s);
            const std::size_t most = mostWithin(run.retries(), retryWindow);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", seed, most),
                                   static_cast<double>(most) <= retryLimits.allowance);
            retries += run.retries().size();
        }
        CPPUNIT_ASSERT(retries > 500);
    }

    // Guards against more requests than a limited upstream permits while instances join, restart
    // and lose contact, and against shares that nobody uses after that.
    void requestLimitHoldsWhileInstancesRestartAndAreCutOff()
    {
        std::size_t sent = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const std::size_t entries = 1 + seed * 7 % 60;
            const double limit = 0.5 + static_cast<double>(seed % 20) / 2;
            simulation run(seed, entries, limit);
            run.simulate(60s);
            const auto most = static_cast<double>(mostWithin(run.limitedSends(), 4s));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} of {}", seed, most, 6 * limit + 5),
                                   most <= 1.5 * limit * 4 + 5);
            sent += run.limitedSends().size();
        }
        CPPUNIT_ASSERT(sent > 2'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_bounds_history_test);
