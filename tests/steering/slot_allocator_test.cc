#include "steering/block_table.h"
#include "steering/slot_allocator.h"
#include "tests/steering/slot_allocation_naive.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 50ms;
constexpr auto deadline = 3000ms;
const std::string service = "svc";

using milliseconds = std::chrono::milliseconds;

// The kind of fault that is more frequent in a simulated history.
enum class stress_kind { none, late_messages, leader_changes, quorum_gaps };

struct simulation_options
{
    std::uint64_t seed = 0;
    stress_kind stress = stress_kind::none;
    milliseconds length = 150s;
    bool hasDrains = true;
    bool changesShare = true;
};

// Simulates holders, leaders and the network between them. Upstreams count the requests that
// actually run, including those of processes that have crashed. Holders always use every slot they
// have.
class slot_simulation
{
public:
    explicit slot_simulation(const simulation_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_rules.requestDeadline = deadline;
        m_rules.warmup = 8s;
        m_rules.reservedShare = 0.25;
        for (int region = 0; region < 3; ++region) {
            const std::string name = fmt::format("r{}", region);
            for (int i = 0; i < 3; ++i)
                m_pools.push_back({service, fmt::format("u{}{}", region, i), name,
                                   fmt::format("{}{}", name, i % 2 == 0 ? 'a' : 'b'),
                                   static_cast<std::uint32_t>(randomBelow(6) + 2)});
            m_positions[name] = 2;
            for (std::uint32_t i = 0; i < 2; ++i)
                m_members.push_back({fmt::format("i{}{}", region, i), name,
                                     fmt::format("{}{}", name, i == 0 ? 'a' : 'b'), i});
        }
        m_inFlight.resize(m_pools.size());
        m_isDrained.resize(m_pools.size());
        for (const slot_member &member : m_members)
            m_holders.push_back(startHolder(member.instance, 1));
        startLeader();
    }

    // Returns an empty string, or a description of the limit that was exceeded.
    std::string run()
    {
        while (m_now < m_options.length) {
            m_now += tick;
            stepEnvironment();
            stepLeaders();
            deliver();
            for (holder &item : m_holders)
                stepHolder(item);
            if (std::string violation = findViolation(); !violation.empty())
                return fmt::format("seed {} at {} ms: {}", m_options.seed, m_now.count(),
                                   violation);
        }
        return {};
    }

    std::uint64_t started() const { return m_started; }
    std::uint64_t leaderCount() const { return m_term; }

private:
    struct holder
    {
        std::string name;
        std::uint64_t incarnation = 0;
        double clockRate = 1; // speed of its clock
        milliseconds clockOffset{0};
        std::vector<slot_lease> leases;
        // End times of running requests, by pool.
        std::vector<std::vector<milliseconds>> requestEnds;
        milliseconds nextReport{0};
        bool isUp = true;
        milliseconds restartAt{0};
        bool losesReports = false;
        bool losesReplies = false;
        std::uint32_t demand = 0;
    };
    struct leader
    {
        std::uint64_t term = 0;
        slot_allocator allocator;
        double clockRate = 1;
        milliseconds clockOffset{0};
        milliseconds endsAt = milliseconds::max(); // when it stops answering
        bool hasQuorum = true;
        milliseconds quorumLostAt{0};
    };
    struct message
    {
        milliseconds at{0};
        std::function<void()> action;
    };

    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }
    bool randomChance(double p) { return std::uniform_real_distribution<>(0, 1)(m_random) < p; }
    // Speed of a clock. Clocks drift apart by less than 1 s over the longest wait, and have
    // arbitrary offsets.
    double randomClockRate() { return std::uniform_real_distribution<>(0.97, 1.03)(m_random); }
    static steady_time localTime(milliseconds now, double clockRate, milliseconds clockOffset)
    {
        return steady_time(milliseconds(static_cast<std::int64_t>(now.count() * clockRate))
                           + clockOffset);
    }
    steady_time localNow(const holder &item) const
    {
        return localTime(m_now, item.clockRate, item.clockOffset);
    }
    steady_time localNow(const leader &item) const
    {
        return localTime(m_now, item.clockRate, item.clockOffset);
    }

    holder startHolder(const std::string &name, std::uint64_t incarnation)
    {
        holder item;
        item.name = name;
        item.incarnation = incarnation;
        item.clockRate = randomClockRate();
        item.clockOffset = milliseconds(randomBelow(100'000) + 1000);
        item.leases.resize(m_pools.size());
        item.requestEnds.resize(m_pools.size());
        item.nextReport = m_now + milliseconds(randomBelow(1000));
        return item;
    }

    void startLeader()
    {
        const double clockRate = randomClockRate();
        const milliseconds clockOffset(randomBelow(100'000) + 1000);
        slot_allocator_settings settings;
        settings.term = ++m_term;
        settings.positions = m_positions;
        settings.membersAreComplete = m_options.seed % 2 == 0;
        const steady_time now = localTime(m_now, clockRate, clockOffset);
        leader item{m_term,
                    slot_allocator(settings, m_pools, {{service, m_rules}}, now),
                    clockRate,
                    clockOffset,
                    milliseconds::max(),
                    true,
                    milliseconds(0)};
        item.allocator.setMembers(m_members, now);
        for (std::size_t i = 0; i < m_pools.size(); ++i)
            item.allocator.setDrained(service, m_pools[i].upstream, m_isDrained[i]);
        m_leaders.push_back(std::move(item));
        m_nextElection = m_now
            + (m_options.stress == stress_kind::leader_changes
                   ? 3s + milliseconds(randomBelow(25'000))
                   : 20s + milliseconds(randomBelow(60'000)));
    }

    void stepEnvironment()
    {
        for (auto &ends : m_inFlight)
            std::erase_if(ends, [&](milliseconds end) { return end <= m_now; });
        if (m_options.hasDrains && randomChance(0.002)) {
            const std::size_t i = randomBelow(m_pools.size());
            m_isDrained[i] = !m_isDrained[i];
            for (leader &item : m_leaders)
                item.allocator.setDrained(service, m_pools[i].upstream, m_isDrained[i]);
        }
        if (m_options.hasDrains && randomChance(0.002)) {
            const std::string &upstream = m_pools[randomBelow(m_pools.size())].upstream;
            for (leader &item : m_leaders)
                item.allocator.upstreamStarted(service, upstream, localNow(item));
        }
        if (m_options.changesShare && randomChance(0.001)) {
            // Instances that are partitioned off keep the reserved slots of the larger share.
            m_rules.maxAppliedReservedShare
                = std::max(m_rules.maxAppliedReservedShare, m_rules.reservedShare);
            m_rules.reservedShare = 0.1 * static_cast<double>(randomBelow(7));
            for (leader &item : m_leaders)
                item.allocator.setRules(service, m_rules);
        }
    }

    void stepLeaders()
    {
        const bool hasLeader = !m_leaders.empty() && m_leaders.back().endsAt == milliseconds::max();
        if (hasLeader && m_now >= m_nextElection) {
            // Loses its quorum permanently, but may continue to answer for the overlap.
            m_leaders.back().hasQuorum = false;
            m_leaders.back().quorumLostAt = m_now;
            m_leaders.back().endsAt = m_now + milliseconds(randomBelow(2000));
            m_nextElection = m_now + (randomChance(0.5) ? 0ms : milliseconds(randomBelow(40'000)));
        } else if (!hasLeader && m_now >= m_nextElection) {
            startLeader();
        } else if (hasLeader && m_leaders.back().hasQuorum
                   && randomChance(m_options.stress == stress_kind::quorum_gaps ? 0.04 : 0.002)) {
            m_leaders.back().hasQuorum = false;
            m_leaders.back().quorumLostAt = m_now;
            m_quorumBackAt = m_now + milliseconds(randomBelow(1900));
        } else if (hasLeader && !m_leaders.back().hasQuorum && m_now >= m_quorumBackAt) {
            m_leaders.back().hasQuorum = true;
            m_leaders.back().allocator.setQuorumSince(localNow(m_leaders.back()));
        }
        std::erase_if(m_leaders, [&](const leader &item) { return item.endsAt <= m_now; });
        for (leader &item : m_leaders) {
            if (m_now.count() % 1000 == 0 && (item.hasQuorum || m_now < item.quorumLostAt + 900ms))
                item.allocator.advance(localNow(item));
        }
    }

    void send(const std::function<void()> &action)
    {
        const int copies = randomChance(0.1) ? 0 : randomChance(0.1) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            milliseconds delay(1 + randomBelow(300));
            if (randomChance(m_options.stress == stress_kind::late_messages ? 0.3 : 0.05))
                delay = milliseconds(randomBelow(30'000));
            m_messages.push_back({m_now + delay, action});
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(m_messages, [&](const message &item) {
            if (item.at > m_now)
                return false;
            due.push_back(item);
            return true;
        });
        std::ranges::shuffle(due, m_random);
        for (const message &item : due)
            item.action();
    }

    void stepHolder(holder &item)
    {
        for (auto &ends : item.requestEnds)
            std::erase_if(ends, [&](milliseconds end) { return end <= m_now; });
        if (!item.isUp) {
            if (m_now >= item.restartAt)
                item = startHolder(item.name, item.incarnation + 1);
            return;
        }
        if (randomChance(0.0008)) {
            item.isUp = false;
            item.restartAt = m_now + milliseconds(randomBelow(randomChance(0.5) ? 500 : 20'000));
            return;
        }
        if (randomChance(m_options.stress == stress_kind::quorum_gaps ? 0.004 : 0.001)) {
            item.losesReports = !item.losesReports;
            item.losesReplies = item.losesReports && randomChance(0.5);
        }
        if (randomChance(0.01))
            item.demand = randomChance(0.5) ? 0 : static_cast<std::uint32_t>(randomBelow(30));
        const steady_time now = localNow(item);
        const bool hasNoLeader = m_leaders.empty()
            || (!m_leaders.back().hasQuorum && m_now >= m_leaders.back().quorumLostAt + 1s);
        if (hasNoLeader && randomChance(0.3)) {
            for (slot_lease &lease : item.leases)
                lease.renewByProof(now, now);
        }
        for (std::size_t i = 0; i < m_pools.size(); ++i) {
            while (item.leases[i].mayStart(static_cast<std::uint32_t>(item.requestEnds[i].size()),
                                           now)) {
                const milliseconds end = m_now
                    + (randomChance(0.3) ? deadline
                                         : milliseconds(randomBelow(deadline.count()) + 1));
                item.requestEnds[i].push_back(end);
                m_inFlight[i].push_back(end);
                ++m_started;
            }
        }
        if (m_now >= item.nextReport) {
            item.nextReport = m_now + 1s;
            sendReport(item);
        }
    }

    void sendReport(const holder &item)
    {
        if (item.losesReports || m_leaders.empty())
            return;
        const steady_time sentAt = localNow(item);
        slot_report report{item.name, item.incarnation, {}, {{service, item.demand, 0, 0}}};
        for (std::size_t i = 0; i < m_pools.size(); ++i)
            report.pools.push_back({service, m_pools[i].upstream, item.leases[i].allowed(sentAt),
                                    static_cast<std::uint32_t>(item.requestEnds[i].size()),
                                    item.leases[i].epoch()});
        const std::uint64_t term = m_leaders[randomBelow(m_leaders.size())].term;
        const bool isRedirected = randomChance(0.3); // to the leader at the time of arrival
        send([this, report, sentAt, term, isRedirected] {
            const auto found = isRedirected && !m_leaders.empty()
                ? std::prev(m_leaders.end())
                : std::ranges::find(m_leaders, term, &leader::term);
            if (found == m_leaders.end())
                return;
            const slot_reply reply = found->allocator.report(report, localNow(*found));
            if (reply.isAccepted)
                send([this, reply, report, sentAt] { receive(report, reply, sentAt); });
        });
    }

    void receive(const slot_report &report, const slot_reply &reply, steady_time sentAt)
    {
        const auto item = std::ranges::find(m_holders, report.instance, &holder::name);
        if (!item->isUp || item->incarnation != report.incarnation || item->losesReplies)
            return;
        for (slot_lease &lease : item->leases)
            lease.observeTerm(reply.term);
        for (const pool_grant &grant : reply.grants) {
            const auto pool = std::ranges::find(m_pools, grant.upstream, &slot_pool::upstream);
            item->leases[static_cast<std::size_t>(pool - m_pools.begin())].apply(grant.grant,
                                                                                 sentAt);
        }
    }

    std::string findViolation() const
    {
        std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> regions;
        for (std::size_t i = 0; i < m_pools.size(); ++i) {
            if (m_inFlight[i].size() > m_pools[i].slots)
                return fmt::format("{} has {} requests in {} slots", m_pools[i].upstream,
                                   m_inFlight[i].size(), m_pools[i].slots);
            auto &[used, slots] = regions[m_pools[i].region];
            used += static_cast<std::uint32_t>(m_inFlight[i].size());
            slots += m_pools[i].slots;
        }
        for (const auto &[name, sums] : regions) {
            // While the share changes, reserved slots of the larger share may exceed the limit.
            if (!m_options.changesShare
                && sums.first > static_cast<std::uint32_t>(m_rules.regionLimit * sums.second))
                return fmt::format("region {} has {} requests in {} slots", name, sums.first,
                                   sums.second);
        }
        return {};
    }

    simulation_options m_options;
    std::mt19937_64 m_random;
    milliseconds m_now{0};
    slot_rules m_rules;
    std::vector<slot_pool> m_pools;
    std::vector<bool> m_isDrained;
    std::map<std::string, std::uint32_t> m_positions;
    std::vector<slot_member> m_members;
    std::vector<holder> m_holders;
    std::vector<leader> m_leaders;
    std::vector<message> m_messages;
    // End times of the requests that actually run, by pool.
    std::vector<std::vector<milliseconds>> m_inFlight;
    std::uint64_t m_term = 0;
    std::uint64_t m_started = 0;
    milliseconds m_nextElection{0};
    milliseconds m_quorumBackAt{0};
};

// One leader and holders without faults, for tests of the distribution.
struct fault_free_cluster
{
    explicit fault_free_cluster(std::vector<slot_pool> upstreams,
                                std::vector<slot_member> instances, slot_rules rules = {})
        : pools(std::move(upstreams))
        , members(std::move(instances))
        , allocator({1, {{"r0", 2}, {"r1", 2}}, true}, pools, {{service, rules}}, now)
    {
        allocator.setMembers(members, now);
        for (const slot_member &member : members) {
            leases[member.instance].resize(pools.size());
            demand[member.instance] = 0;
        }
        runPeriods(10); // until the wait after a first report is over
    }

    void runPeriods(int count)
    {
        for (int i = 0; i < count; ++i) {
            now += 1s;
            allocator.advance(now);
            for (const slot_member &member : members) {
                slot_report report{member.instance, 1, {}, {{service, demand[member.instance]}}};
                std::uint32_t left = demand[member.instance];
                auto &held = leases[member.instance];
                for (std::size_t k = 0; k < pools.size(); ++k) {
                    const std::uint32_t used = std::min(left, held[k].allowed(now));
                    left -= used;
                    report.pools.push_back(
                        {service, pools[k].upstream, held[k].allowed(now), used, held[k].epoch()});
                }
                const slot_reply reply = allocator.report(report, now);
                for (slot_lease &lease : held)
                    lease.observeTerm(reply.term);
                for (const pool_grant &grant : reply.grants) {
                    const auto pool
                        = std::ranges::find(pools, grant.upstream, &slot_pool::upstream);
                    held[static_cast<std::size_t>(pool - pools.begin())].apply(grant.grant, now);
                }
            }
        }
    }

    std::uint32_t held(const std::string &instance, const std::string &region = {})
    {
        std::uint32_t sum = 0;
        for (std::size_t k = 0; k < pools.size(); ++k) {
            if (region.empty() || pools[k].region == region)
                sum += leases[instance][k].allowed(now);
        }
        return sum;
    }

    steady_time now{100s};
    std::vector<slot_pool> pools;
    std::vector<slot_member> members;
    slot_allocator allocator;
    std::map<std::string, std::vector<slot_lease>> leases;
    std::map<std::string, std::uint32_t> demand;
};

std::vector<slot_pool> twoRegions(std::uint32_t slots)
{
    std::vector<slot_pool> pools;
    pools.reserve(10);
    for (int i = 0; i < 10; ++i)
        pools.push_back({service, fmt::format("u{}", i), fmt::format("r{}", i / 5),
                         fmt::format("r{}{}", i / 5, i % 2), slots});
    return pools;
}

const std::vector<slot_member> fourMembers
    = {{"a", "r0", "r00", 0}, {"b", "r0", "r01", 1}, {"c", "r1", "r10", 0}, {"d", "r1", "r11", 1}};

} // namespace

class slot_allocator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_allocator_test);
    CPPUNIT_TEST(neverExceedsSlotsUnderFaults);
    CPPUNIT_TEST(keepsRegionLimitUnderFaults);
    CPPUNIT_TEST(givesSingleBusyInstanceMostSlots);
    CPPUNIT_TEST(prefersNearUpstreams);
    CPPUNIT_TEST(sharesFairlyWhenDemandExceedsSlots);
    CPPUNIT_TEST(servesAboutAsMuchDemandAsReference);
    CPPUNIT_TEST(drainTakesAllSlotsBack);
    CPPUNIT_TEST(rampsUpStartedUpstream);
    CPPUNIT_TEST(respectsChangingCapacity);
    CPPUNIT_TEST(removedMemberStaysChargedUntilSilent);
    CPPUNIT_TEST(leaseFallsBackToReservedSlots);
    CPPUNIT_TEST(rejectsMalformedSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two holders that use the same slot because of lost, repeated or late messages,
    // crashes, partitions, changes of leader or of the reserved share, or drifting clocks.
    void neverExceedsSlotsUnderFaults()
    {
        std::uint64_t started = 0;
        for (std::uint64_t seed = 1; seed <= 700; ++seed) {
            slot_simulation simulation({seed, static_cast<stress_kind>(seed / 2 % 4)});
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run());
            started += simulation.started();
        }
        // The check above is only meaningful if the simulated histories start requests.
        CPPUNIT_ASSERT(started > 700 * 500);
    }

    // Guards against a region that is granted more than its limit while leaders change.
    void keepsRegionLimitUnderFaults()
    {
        for (std::uint64_t seed = 1001; seed <= 1060; ++seed) {
            slot_simulation simulation(
                {seed, static_cast<stress_kind>(seed / 2 % 4), 150s, true, false});
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run());
        }
    }

    // Guards against slots of idle instances that are not moved to the only busy instance.
    void givesSingleBusyInstanceMostSlots()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        cluster.demand["a"] = 100;
        cluster.runPeriods(6);
        // 80 slots, 72 of them within the region limits, 20 of those reserved for other instances.
        CPPUNIT_ASSERT(cluster.held("a") >= 50);
        cluster.demand["a"] = 0;
        cluster.demand["d"] = 100;
        cluster.runPeriods(8);
        CPPUNIT_ASSERT(cluster.held("d") >= 45);
    }

    // Guards against requests to other regions while there are free slots in the own region, also
    // if an instance of another region held those slots first.
    void prefersNearUpstreams()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        cluster.demand["a"] = 14;
        cluster.demand["c"] = 14;
        cluster.runPeriods(10);
        CPPUNIT_ASSERT(cluster.held("a") >= 14 && cluster.held("a", "r1") == 0);
        cluster.demand["a"] = 60;
        cluster.demand["c"] = 0;
        cluster.runPeriods(10);
        CPPUNIT_ASSERT(cluster.held("a", "r1") > 0);
        cluster.demand["a"] = 14;
        cluster.demand["c"] = 14;
        cluster.runPeriods(20);
        CPPUNIT_ASSERT_EQUAL(0U, cluster.held("a", "r1"));
        CPPUNIT_ASSERT(cluster.held("c", "r1") >= 14);
    }

    // Guards against an instance that keeps more than its fair share because it was busy first.
    void sharesFairlyWhenDemandExceedsSlots()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        cluster.demand["a"] = 200;
        cluster.runPeriods(10);
        for (auto &[name, demand] : cluster.demand)
            demand = 200;
        cluster.runPeriods(20);
        for (const slot_member &member : fourMembers)
            CPPUNIT_ASSERT(cluster.held(member.instance) >= 14);
    }

    // Guards against demand that stays unserved although slots could be moved to it. The only slots
    // that the reference can use in addition are reserved slots of idle instances.
    void servesAboutAsMuchDemandAsReference()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            std::mt19937_64 random(seed);
            fault_free_cluster cluster(twoRegions(static_cast<std::uint32_t>(2 + seed % 8)),
                                       fourMembers);
            for (int change = 0; change < 4; ++change) {
                for (auto &[name, demand] : cluster.demand)
                    demand = static_cast<std::uint32_t>(random() % 3 == 0 ? 0 : random() % 40);
                cluster.runPeriods(15);
                std::uint32_t reference = 0;
                std::uint32_t served = 0;
                const auto best
                    = allocateSlotsNaive(cluster.pools, fourMembers, cluster.demand, 0.9);
                for (const slot_member &member : fourMembers) {
                    reference += best.at(member.instance);
                    served
                        += std::min(cluster.held(member.instance), cluster.demand[member.instance]);
                }
                std::uint32_t idleReserved = 0;
                for (const slot_member &member : fourMembers) {
                    std::uint32_t reservedSlots = 0;
                    for (const slot_lease &lease : cluster.leases[member.instance])
                        reservedSlots += lease.reserved();
                    idleReserved
                        += reservedSlots - std::min(reservedSlots, cluster.demand[member.instance]);
                }
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} of {}, {} idle reserved slots",
                                                   seed, served, reference, idleReserved),
                                       served + idleReserved + fourMembers.size() >= reference);
            }
        }
    }

    // Guards against new requests to a drained upstream.
    void drainTakesAllSlotsBack()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        for (auto &[name, demand] : cluster.demand)
            demand = 40;
        cluster.runPeriods(10);
        cluster.allocator.setDrained(service, "u0", true);
        cluster.runPeriods(2);
        for (const slot_member &member : fourMembers)
            CPPUNIT_ASSERT_EQUAL(0U, cluster.leases[member.instance][0].allowed(cluster.now));
        cluster.allocator.setDrained(service, "u0", false);
        cluster.runPeriods(10);
        std::uint32_t granted = 0;
        for (const slot_member &member : fourMembers)
            granted += cluster.leases[member.instance][0].allowed(cluster.now);
        CPPUNIT_ASSERT(granted > 2);
    }

    // Guards against a restarted upstream that receives its full load without a warm-up.
    void rampsUpStartedUpstream()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        for (auto &[name, demand] : cluster.demand)
            demand = 100;
        cluster.runPeriods(10);
        cluster.allocator.upstreamStarted(service, "u3", cluster.now);
        const steady_time start = cluster.now;
        cluster.runPeriods(2);
        for (; cluster.now < start + 40s; cluster.runPeriods(1)) {
            std::uint32_t granted = 0;
            for (const slot_member &member : fourMembers)
                granted += cluster.leases[member.instance][3].allowed(cluster.now);
            const double progress
                = std::min(1.0, std::chrono::duration<double>(cluster.now - start).count() / 30);
            CPPUNIT_ASSERT(granted <= 1 + 7 * progress + 1e-9);
        }
        CPPUNIT_ASSERT(cluster.allocator.status(service, "u3").capacity == 8);
    }

    // Guards against grants above a capacity that changes, as the foreign limit of a region does.
    void respectsChangingCapacity()
    {
        fault_free_cluster cluster({{service, "u0", "r0", "r00", 50}}, fourMembers, {0, 0, 1});
        for (auto &[name, demand] : cluster.demand)
            demand = 20;
        for (const std::uint32_t capacity : {30U, 8U, 45U, 0U}) {
            cluster.allocator.setCapacity(service, "u0", capacity);
            cluster.runPeriods(20);
            std::uint32_t granted = 0;
            for (const slot_member &member : fourMembers)
                granted += cluster.held(member.instance);
            CPPUNIT_ASSERT(granted <= capacity && granted + fourMembers.size() >= capacity);
        }
    }

    // Guards against granting slots of a removed instance while it may still use them.
    void removedMemberStaysChargedUntilSilent()
    {
        fault_free_cluster cluster(twoRegions(8), fourMembers);
        cluster.demand["a"] = 60;
        cluster.runPeriods(10);
        std::vector<std::uint32_t> before;
        before.reserve(cluster.pools.size());
        for (const slot_pool &pool : cluster.pools)
            before.push_back(cluster.allocator.granted("a", service, pool.upstream));
        const steady_time removedAt = cluster.now;
        cluster.members.erase(cluster.members.begin());
        cluster.allocator.setMembers(cluster.members, cluster.now);
        for (auto &[name, demand] : cluster.demand)
            demand = 100;
        while (cluster.now < removedAt + cluster.allocator.silenceTimeout(service) - 2s) {
            cluster.runPeriods(1);
            for (std::size_t i = 0; i < cluster.pools.size(); ++i) {
                std::uint32_t granted = before[i];
                for (const slot_member &member : cluster.members)
                    granted += cluster.leases[member.instance][i].allowed(cluster.now);
                CPPUNIT_ASSERT(granted <= cluster.pools[i].slots);
            }
        }
        cluster.runPeriods(15);
        CPPUNIT_ASSERT(cluster.held("b") + cluster.held("c") + cluster.held("d") >= 60);
    }

    // Guards against the use of leased slots after the lease has ended, and against an expired
    // lease that is extended by a proof of a missing quorum or by a late reply.
    void leaseFallsBackToReservedSlots()
    {
        const steady_time start(100s);
        slot_lease lease;
        CPPUNIT_ASSERT(lease.apply({5, 2, epochOfTerm(1) + 7}, start));
        CPPUNIT_ASSERT_EQUAL(5U, lease.allowed(start + 9999ms));
        CPPUNIT_ASSERT_EQUAL(2U, lease.allowed(start + 10s));
        CPPUNIT_ASSERT(!lease.apply({6, 2, epochOfTerm(1) + 6}, start + 1s));
        lease.renewByProof(start + 9s, start + 9s);
        CPPUNIT_ASSERT_EQUAL(5U, lease.allowed(start + 11999ms));
        lease.renewByProof(start + 12s, start + 12s);
        CPPUNIT_ASSERT_EQUAL(2U, lease.allowed(start + 12s));
        lease.observeTerm(2);
        CPPUNIT_ASSERT(!lease.apply({6, 2, epochOfTerm(1) + 8}, start + 13s));
        CPPUNIT_ASSERT(lease.apply({3, 2, epochOfTerm(2) + 1}, start + 13s));
        CPPUNIT_ASSERT_EQUAL(3U, lease.allowed(start + 14s));
    }

    void rejectsMalformedSettings()
    {
        CPPUNIT_ASSERT_THROW(
            slot_allocator({}, {{service, "u", "r", "f", 1}, {service, "u", "r", "f", 1}}, {}, {}),
            steering_error);
        slot_allocator_settings settings;
        settings.term = maxEpochTerm + 1;
        CPPUNIT_ASSERT_THROW(slot_allocator(settings, {}, {}, {}), steering_error);
        slot_allocator allocator({}, {{service, "u", "r", "f", 1}}, {}, {});
        CPPUNIT_ASSERT(!allocator.report({"stranger", 1, {}, {}}, {}).isAccepted);
        CPPUNIT_ASSERT_THROW(allocator.setDrained(service, "v", true), steering_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_allocator_test);
