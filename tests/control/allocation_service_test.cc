#include "tests/control/control_fixture.h"

#include "control/allocation_service.h"
#include "steering/slot_lease.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slotsPerUpstream = 6;
constexpr std::uint32_t upstreamsPerRegion = 3;
constexpr std::uint32_t slotsPerRegion = slotsPerUpstream * upstreamsPerRegion;

settings makeSettings()
{
    settings result;
    result.cluster = "test";
    service_spec service;
    service.name = "s";
    service.profile = "p";
    service.requestDeadline = 4s;
    for (const std::string region : {"r1", "r2"}) {
        region_spec spec;
        spec.name = region;
        spec.failureDomains = {region + "-a"};
        spec.entryInstances = 2;
        result.deployment.regions.push_back(spec);
        for (std::uint32_t i = 0; i < upstreamsPerRegion; ++i)
            service.upstreams.push_back({region + "-u" + std::to_string(i), "127.0.0.1:1",
                                         region + "-a", slotsPerUpstream, 10, ""});
    }
    result.deployment.services.push_back(service);
    return result;
}

// A simulated entry instance that uses as many slots as its leases allow, up to its demand.
class simulated_entry
{
public:
    simulated_entry(const settings &config, std::string name, std::string region)
        : m_name(std::move(name))
        , m_region(std::move(region))
    {
        for (const upstream_spec &upstream : config.deployment.services[0].upstreams)
            m_pools[upstream.name];
    }

    std::uint32_t wantedSlots = 0; // at each upstream
    std::uint32_t wantedForeignSlots = 0;

    void updateInFlight(steady_time now)
    {
        for (auto &[name, pool] : m_pools)
            pool.inFlight = std::min(wantedSlots, pool.lease.allowed(now));
        m_foreign.inFlight = std::min(wantedForeignSlots, m_foreign.lease.allowed(now));
    }

    // Sends a report and applies the reply unless `isLost` is set.
    wire::report_reply report(allocation_service &service, std::uint64_t term, steady_time now,
                              bool isLost = false)
    {
        wire::report_request request;
        request.set_instance(m_name);
        request.set_incarnation(1);
        request.set_region(m_region);
        std::uint32_t peak = 0;
        for (const auto &[name, pool] : m_pools) {
            wire::upstream_demand &demand = *request.add_upstreams();
            demand.set_service("s");
            demand.set_upstream(name);
            demand.set_held(pool.lease.allowed(now));
            demand.set_in_flight(pool.inFlight);
            demand.set_epoch(pool.lease.epoch());
            demand.set_answers(10);
            demand.set_latency_us(2'000);
            peak += pool.inFlight;
        }
        wire::service_demand &demand = *request.add_services();
        demand.set_service("s");
        demand.set_peak_in_flight(peak);
        demand.set_waiting(wantedSlots > 0 ? 4 : 0);
        wire::foreign_demand &foreign = *request.add_foreign();
        foreign.set_service("s");
        foreign.set_held(m_foreign.lease.allowed(now));
        foreign.set_in_flight(m_foreign.inFlight);
        foreign.set_epoch(m_foreign.lease.epoch());
        foreign.set_peak_in_flight(m_foreign.inFlight);
        foreign.set_waiting(wantedForeignSlots > m_foreign.inFlight ? 4 : 0);
        wire::report_reply reply;
        service.report(term, request, reply);
        if (isLost)
            return reply;
        for (auto &[name, pool] : m_pools)
            pool.lease.observeTerm(term);
        m_foreign.lease.observeTerm(term);
        for (const auto &grant : reply.allocations())
            m_pools.at(grant.upstream())
                .lease.apply({grant.slots(), grant.reserved(), grant.epoch()}, now);
        for (const auto &limit : reply.foreign_limits())
            m_foreign.lease.apply({limit.slots(), 0, limit.epoch()}, now);
        return reply;
    }

    std::uint32_t inFlight(const std::string &upstream) const
    {
        return m_pools.at(upstream).inFlight;
    }
    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const auto &[name, pool] : m_pools)
            sum += pool.inFlight;
        return sum;
    }
    std::uint32_t foreign() const { return m_foreign.inFlight; }
    const std::string &name() const { return m_name; }
    const std::string &region() const { return m_region; }

private:
    struct pool_state
    {
        slot_lease lease;
        std::uint32_t inFlight = 0;
    };
    std::string m_name;
    std::string m_region;
    std::map<std::string, pool_state> m_pools;
    pool_state m_foreign;
};

} // namespace

class allocation_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allocation_service_test);
    CPPUNIT_TEST(answersOnlyWhileConfirmed);
    CPPUNIT_TEST(newLeaderWaitsForEarlierGrants);
    CPPUNIT_TEST(drainsAndRemovalsRevokeSlots);
    CPPUNIT_TEST(foreignLoadGrowsByShiftCap);
    CPPUNIT_TEST(lowerShareWaitsForMembers);
    CPPUNIT_TEST(neverExceedsSlots);
    CPPUNIT_TEST_SUITE_END();

    const settings m_settings = makeSettings();
    manual_clock m_clock;
    null_event_log m_events;
    metric_registry m_metrics;
    leader_confirmation m_confirmed;
    control_state m_state;
    std::unique_ptr<allocation_service> m_service;
    std::vector<simulated_entry> m_entries;
    log_index m_index = 0;

    void confirm(std::uint64_t term)
    {
        m_confirmed.update({m_state.revision(), term, m_clock.now(), {}});
    }

    void startLeader()
    {
        m_service = std::make_unique<allocation_service>(m_settings, m_state, m_confirmed, m_clock,
                                                         m_events, m_metrics);
    }

    wire::apply_result apply(const wire::command &command)
    {
        return applyCommand(m_state, ++m_index, command);
    }

    std::string newId() { return fmt::format("{}-{}", m_clock.wallMs(), m_index); }

    void putProfile(const std::string &more)
    {
        const auto current = m_state.findProfile("p", 0);
        const auto result
            = apply(putCommand(m_clock.wallMs(), newId(), "p", current ? current->version() : 0,
                               profileText("p", more)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.edit().message(), wire::EDIT_ACCEPTED,
                                     result.edit().status());
    }

    // Simulates one second in which every entry instance reports.
    void runSecond(std::uint64_t term, bool isConfirmed = true)
    {
        m_clock.advance(1s);
        if (isConfirmed)
            confirm(term);
        m_service->advance(term);
        for (simulated_entry &each : m_entries) {
            each.updateInFlight(m_clock.now());
            each.report(*m_service, term, m_clock.now());
            each.updateInFlight(m_clock.now());
        }
    }

    std::uint32_t inFlightAt(const std::string &upstream) const
    {
        return std::accumulate(m_entries.begin(), m_entries.end(), 0U,
                               [&](std::uint32_t sum, const simulated_entry &each) {
                                   return sum + each.inFlight(upstream);
                               });
    }

public:
    void setUp() override
    {
        putProfile("");
        for (int i = 1; i <= 4; ++i) {
            const std::string name = "e" + std::to_string(i);
            const std::string region = i <= 2 ? "r1" : "r2";
            apply(registerCommand(m_clock.wallMs(), name, 1, region, 2));
            m_entries.emplace_back(m_settings, name, region);
        }
        startLeader();
    }

    // Guards against a replaced leader that continues to grant slots.
    void answersOnlyWhileConfirmed()
    {
        confirm(1);
        CPPUNIT_ASSERT(m_service->isConfirmed(1));
        CPPUNIT_ASSERT(!m_service->isConfirmed(2));
        for (simulated_entry &each : m_entries)
            each.wantedSlots = 1;
        for (int i = 0; i < 30; ++i)
            runSecond(1);
        CPPUNIT_ASSERT(m_entries[0].total() > 0);
        m_clock.advance(1'600ms);
        CPPUNIT_ASSERT(!m_service->isConfirmed(1));
        const auto reply = m_entries[0].report(*m_service, 1, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(0, reply.allocations_size());
    }

    void newLeaderWaitsForEarlierGrants()
    {
        confirm(1);
        for (simulated_entry &each : m_entries)
            each.wantedSlots = each.name() == "e1" ? slotsPerUpstream : 0;
        for (int i = 0; i < 40; ++i)
            runSecond(1);
        const std::uint32_t before = m_entries[0].total();
        CPPUNIT_ASSERT(before > slotsPerRegion / 2);
        // A new leader starts. It has no connection to e1, and e2 demands the slots of e1.
        startLeader();
        m_entries[1].wantedSlots = slotsPerUpstream;
        simulated_entry disconnected = m_entries[0];
        m_entries.erase(m_entries.begin());
        const std::uint32_t initialTotal = m_entries[0].total();
        for (int i = 0; i < 10; ++i) {
            runSecond(2);
            disconnected.updateInFlight(m_clock.now());
            for (const upstream_spec &upstream : m_settings.deployment.services[0].upstreams)
                CPPUNIT_ASSERT(inFlightAt(upstream.name) + disconnected.inFlight(upstream.name)
                               <= slotsPerUpstream);
            // e2 gets only its reserved slots, which no other instance can hold.
            CPPUNIT_ASSERT(m_entries[0].total() <= std::max(initialTotal, slotsPerRegion / 4 + 2));
        }
        for (int i = 0; i < 30; ++i)
            runSecond(2);
        CPPUNIT_ASSERT(m_entries[0].total() > slotsPerRegion / 2);
    }

    void drainsAndRemovalsRevokeSlots()
    {
        confirm(1);
        for (simulated_entry &each : m_entries)
            each.wantedSlots = slotsPerUpstream;
        for (int i = 0; i < 40; ++i)
            runSecond(1);
        CPPUNIT_ASSERT(inFlightAt("r1-u0") > 0);
        wire::command drain;
        drain.set_wall_ms(m_clock.wallMs());
        drain.mutable_operator_edit()->set_request_id(newId());
        drain.mutable_operator_edit()->mutable_drain()->set_kind(wire::TARGET_UPSTREAM);
        drain.mutable_operator_edit()->mutable_drain()->set_target("r1-u0");
        const std::string id = apply(drain).edit().drain_id();
        for (int i = 0; i < 3; ++i)
            runSecond(1);
        CPPUNIT_ASSERT_EQUAL(0U, inFlightAt("r1-u0"));
        wire::command cancel;
        cancel.set_wall_ms(m_clock.wallMs());
        cancel.mutable_operator_edit()->set_request_id(newId());
        cancel.mutable_operator_edit()->mutable_cancel()->set_id(id);
        apply(cancel);
        for (int i = 0; i < 10; ++i)
            runSecond(1);
        CPPUNIT_ASSERT(inFlightAt("r1-u0") > 0);
        apply(removeCommand(m_clock.wallMs(), newId(), "e1"));
        const auto reply = m_entries[0].report(*m_service, 1, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(0, reply.allocations_size());
    }

    // Guards against foreign load that grows faster than the shift cap under high demand.
    void foreignLoadGrowsByShiftCap()
    {
        putProfile("shift_cap: 10%\nshift_interval: 10s\n");
        confirm(1);
        for (simulated_entry &each : m_entries)
            each.wantedSlots = 1;
        for (int i = 0; i < 30; ++i)
            runSecond(1);
        for (simulated_entry &each : m_entries)
            each.wantedForeignSlots = slotsPerRegion;
        constexpr std::uint32_t step = slotsPerRegion / 10;
        constexpr std::size_t interval = 10;
        std::vector<std::uint32_t> loads;
        for (int i = 0; i < 150; ++i) {
            runSecond(1);
            loads.push_back(m_entries[0].foreign() + m_entries[1].foreign());
            const auto limit = m_service->foreignLimit("s", "r1");
            CPPUNIT_ASSERT(limit && loads.back() <= *limit);
            const auto first
                = loads.end() - static_cast<std::ptrdiff_t>(std::min(loads.size(), interval));
            const std::uint32_t least = *std::min_element(first, loads.end());
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} to {} in second {}", least, loads.back(), i),
                                   loads.back() <= least + step);
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}", fmt::join(loads, " ")),
                               loads.back() >= slotsPerRegion / 2); // the load does grow
    }

    // Guards against reserved slots that are leased to other instances while their owner still uses
    // them, because it has not applied the lower reserved share yet.
    void lowerShareWaitsForMembers()
    {
        confirm(1);
        for (int i = 0; i < 30; ++i)
            runSecond(1);
        for (simulated_entry &each : m_entries)
            each.wantedSlots = slotsPerUpstream;
        for (int i = 0; i < 20; ++i)
            runSecond(1);
        putProfile("reserved_share: 0%\n");
        // e4 does not receive the change and falls back to its reserved slots.
        simulated_entry silent = m_entries.back();
        m_entries.pop_back();
        for (int i = 0; i < 60; ++i) {
            runSecond(1);
            silent.updateInFlight(m_clock.now());
            for (const upstream_spec &upstream : m_settings.deployment.services[0].upstreams)
                CPPUNIT_ASSERT(inFlightAt(upstream.name) + silent.inFlight(upstream.name)
                               <= slotsPerUpstream);
        }
        CPPUNIT_ASSERT(silent.total() > 0);
        m_entries.push_back(silent);
        for (int i = 0; i < 10; ++i)
            runSecond(1);
        CPPUNIT_ASSERT(m_entries.back().total() > 0);
    }

    // Checks the slot limit under random demand, lost replies, periods without a quorum, and
    // changes of the leader and the profile.
    void neverExceedsSlots()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            std::mt19937_64 random(seed);
            const auto pick = [&](std::uint64_t count) { return random() % count; };
            std::uint64_t term = seed * 100;
            startLeader();
            confirm(term);
            for (int i = 0; i < 1'500; ++i) {
                m_clock.advance(std::chrono::milliseconds(100 + pick(900)));
                if (pick(150) == 0) {
                    ++term;
                    startLeader();
                } else if (pick(40) == 0) {
                    m_clock.advance(std::chrono::milliseconds(pick(6'000)));
                }
                if (pick(100) == 0)
                    putProfile(fmt::format("reserved_share: {}%\nregion_limit: {}%\n", pick(50),
                                           50 + pick(51)));
                if (pick(10) != 0)
                    confirm(term);
                m_service->advance(term);
                for (simulated_entry &each : m_entries) {
                    if (pick(8) == 0)
                        each.wantedSlots = static_cast<std::uint32_t>(pick(slotsPerUpstream + 1));
                    each.updateInFlight(m_clock.now());
                    if (pick(5) != 0)
                        each.report(*m_service, term, m_clock.now(), pick(10) == 0);
                    each.updateInFlight(m_clock.now());
                }
                for (const upstream_spec &upstream : m_settings.deployment.services[0].upstreams)
                    CPPUNIT_ASSERT_MESSAGE(
                        fmt::format("seed {}, step {}, {}", seed, i, upstream.name),
                        inFlightAt(upstream.name) <= slotsPerUpstream);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allocation_service_test);
