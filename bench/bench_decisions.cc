// Cost of a selection and of an allocation round against the references, and the quality of power
// of two choices in a queueing model.

#include "steering/slot_allocator.h"
#include "steering/upstream_selector.h"
#include "tests/steering/slot_allocation_naive.h"
#include "tests/steering/upstream_selector_naive.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

DEFINE_uint64(seed, 1, "Seed of all random numbers");
DEFINE_double(seconds, 0.5, "Time for each cost measurement");
DEFINE_uint64(requests, 200'000, "Requests in each run of the queueing model");

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

template <typename Work>
double microsecondsPerCall(Work work)
{
    // CPU time, so that other work on the machine counts less.
    const std::clock_t start = std::clock();
    std::size_t calls = 0;
    double elapsed = 0;
    do {
        work(calls);
        ++calls;
        elapsed = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    } while (elapsed < FLAGS_seconds);
    return 1e6 * elapsed / static_cast<double>(calls);
}

void benchSelection()
{
    fmt::print("selection: upstreams power_of_two_us full_scan_us\n");
    for (const std::size_t count : {10U, 100U, 1000U, 10'000U}) {
        std::mt19937_64 random(FLAGS_seed);
        std::vector<upstream_tiers::place> places;
        std::vector<upstream_view> views;
        places.reserve(count);
        views.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            places.push_back({fmt::format("u{}", i), "r", "d"});
            upstream_view view;
            view.slots = 8;
            view.inFlight = static_cast<std::uint32_t>(random() % 9);
            view.latency = std::chrono::microseconds(1000 + random() % 5000);
            view.reportedLoad = 0.5;
            views.push_back(view);
        }
        const upstream_tiers tiers(places, "r", "d");
        std::uint64_t checksum = 0;
        const double two = microsecondsPerCall(
            [&](std::size_t) { checksum += *selectUpstream(tiers, views, {}, random()).upstream; });
        const double scan = microsecondsPerCall(
            [&](std::size_t) { checksum += *selectUpstreamNaive(tiers, views, {}); });
        fmt::print("{} {:.3f} {:.3f} (checksum {})\n", count, two, scan, checksum % 1000);
    }
}

void benchAllocation()
{
    fmt::print("allocation: instances upstreams report_us round_us reference_round_us\n");
    for (const auto &[instances, upstreams] :
         {std::pair{11, 20}, std::pair{11, 100}, std::pair{19, 610}, std::pair{50, 610}}) {
        std::vector<slot_pool> pools;
        std::vector<slot_member> members;
        std::map<std::string, std::uint32_t> demands;
        std::mt19937_64 random(FLAGS_seed);
        pools.reserve(static_cast<std::size_t>(upstreams));
        for (int i = 0; i < upstreams; ++i)
            pools.push_back({"svc", fmt::format("u{}", i), fmt::format("r{}", i % 3),
                             fmt::format("r{}{}", i % 3, i / 3 % 2), 6});
        const std::uint32_t positions = static_cast<std::uint32_t>(instances) / 3 + 1;
        members.reserve(static_cast<std::size_t>(instances));
        for (int i = 0; i < instances; ++i) {
            members.push_back({fmt::format("i{}", i), fmt::format("r{}", i % 3),
                               fmt::format("r{}{}", i % 3, i / 3 % 2),
                               static_cast<std::uint32_t>(i / 3)});
        }
        steady_time now(100s);
        slot_allocator allocator(
            {1, {{"r0", positions}, {"r1", positions}, {"r2", positions}}, true}, pools, {}, now);
        allocator.setMembers(members, now);
        std::vector<std::vector<slot_lease>> leases(members.size(),
                                                    std::vector<slot_lease>(pools.size()));
        const double round = microsecondsPerCall([&](std::size_t) {
            now += 1s;
            allocator.advance(now);
            for (std::size_t i = 0; i < members.size(); ++i) {
                const auto demand = static_cast<std::uint32_t>(
                    random() % static_cast<std::size_t>(12 * upstreams / instances));
                demands[members[i].instance] = demand;
                slot_report report{members[i].instance, 1, {}, {{"svc", demand}}};
                report.pools.reserve(pools.size());
                for (std::size_t k = 0; k < pools.size(); ++k)
                    report.pools.push_back({"svc", pools[k].upstream, leases[i][k].allowed(now), 0,
                                            leases[i][k].epoch()});
                const slot_reply reply = allocator.report(report, now);
                for (slot_lease &lease : leases[i])
                    lease.observeTerm(reply.term);
                // Grants follow the order of the report; those without a slot may be left out.
                std::size_t k = 0;
                for (const pool_grant &grant : reply.grants) {
                    while (pools[k].upstream != grant.upstream)
                        ++k;
                    leases[i][k].apply(grant.grant, now);
                }
            }
        });
        const double reference = microsecondsPerCall(
            [&](std::size_t) { allocateSlotsNaive(pools, members, demands, 0.9); });
        fmt::print("{} {} {:.1f} {:.1f} {:.1f}\n", instances, upstreams, round / instances, round,
                   reference);
    }
}

// Entry instances send requests with exponential service times to upstreams that serve one at a
// time from an unbounded queue. Each instance sees its own requests in flight exactly and the
// upstreams' load as it was at the last report.
struct queueing_result
{
    double mean = 0;
    double p99 = 0;
    double p999 = 0;
    double imbalance = 0; // standard deviation of the requests per upstream over their mean
};

using chooser = std::function<std::uint32_t(const upstream_tiers &, std::span<const upstream_view>,
                                            std::mt19937_64 &)>;

queueing_result runQueues(const chooser &choose, double use, std::chrono::milliseconds lag)
{
    constexpr std::size_t upstreams = 20;
    constexpr std::size_t instances = 11;
    constexpr double serviceMs = 10;
    constexpr double queueAtFullLoad = 8;
    constexpr std::uint32_t slotsPerInstance = 8;
    std::mt19937_64 random(FLAGS_seed);
    std::vector<upstream_tiers::place> places;
    for (std::size_t i = 0; i < upstreams; ++i)
        places.push_back({fmt::format("u{}", i), "r", "d"});
    const upstream_tiers tiers(places, "r", "d");
    std::vector<std::vector<upstream_view>> views(instances, std::vector<upstream_view>(upstreams));
    for (auto &row : views) {
        for (upstream_view &view : row)
            view.slots = slotsPerInstance;
    }
    std::vector<std::vector<std::uint32_t>> inFlight(instances,
                                                     std::vector<std::uint32_t>(upstreams));
    struct departure
    {
        double at = 0;
        std::size_t instance = 0;
        std::size_t upstream = 0;
        bool operator>(const departure &other) const { return at > other.at; }
    };
    std::priority_queue<departure, std::vector<departure>, std::greater<>> departures;
    std::vector<double> busyUntil(upstreams);
    std::vector<double> queued(upstreams);
    std::vector<double> served(upstreams);
    std::vector<double> times;
    times.reserve(FLAGS_requests);
    std::exponential_distribution<> gap(static_cast<double>(upstreams) * use / serviceMs);
    std::exponential_distribution<> work(1 / serviceMs);
    double now = 0;
    double nextReport = 0;
    for (std::uint64_t i = 0; i < FLAGS_requests; ++i) {
        now += gap(random);
        while (!departures.empty() && departures.top().at <= now) {
            const departure done = departures.top();
            departures.pop();
            --queued[done.upstream];
            --inFlight[done.instance][done.upstream];
        }
        for (; nextReport <= now; nextReport += static_cast<double>(lag.count())) {
            for (auto &row : views) {
                for (std::size_t k = 0; k < upstreams; ++k)
                    row[k].reportedLoad = std::min(queued[k] / queueAtFullLoad, 1.0);
            }
        }
        const std::size_t instance = random() % instances;
        for (std::size_t k = 0; k < upstreams; ++k) {
            // The model refuses nothing: beyond its slots an instance counts as having one left.
            views[instance][k].inFlight = std::min(inFlight[instance][k], slotsPerInstance - 1);
            views[instance][k].loadAge = std::chrono::milliseconds(
                static_cast<std::int64_t>(now - nextReport) + lag.count());
        }
        const std::uint32_t chosen = choose(tiers, views[instance], random);
        const double end = std::max(now, busyUntil[chosen]) + work(random);
        busyUntil[chosen] = end;
        ++queued[chosen];
        ++served[chosen];
        ++inFlight[instance][chosen];
        departures.push({end, instance, chosen});
        times.push_back(end - now);
    }
    queueing_result result;
    result.mean
        = std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
    std::ranges::sort(times);
    result.p99 = times[times.size() * 99 / 100];
    result.p999 = times[times.size() * 999 / 1000];
    const double mean = static_cast<double>(times.size()) / upstreams;
    double variance = 0;
    for (const double count : served)
        variance += (count - mean) * (count - mean) / upstreams;
    result.imbalance = std::sqrt(variance) / mean;
    return result;
}

void benchQuality()
{
    fmt::print("queueing model, 20 upstreams, 11 instances, mean service time 10 ms\n"
               "use load_lag_ms chooser mean_ms p99_ms p99.9_ms imbalance\n");
    const selection_weights weights{0, 1};
    const std::vector<std::pair<std::string, chooser>> choosers
        = {{"random",
            [](const auto &, auto views, auto &random) {
                return static_cast<std::uint32_t>(random() % views.size());
            }},
           {"power-of-two",
            [&](const auto &tiers, auto views, auto &random) {
                return *selectUpstream(tiers, views, weights, random()).upstream;
            }},
           {"full-scan", [&](const auto &tiers, auto views, auto &) {
                return *selectUpstreamNaive(tiers, views, weights);
            }}};
    for (const double use : {0.5, 0.8, 0.9}) {
        for (const auto lag : {10ms, 100ms, 1000ms}) {
            for (const auto &[name, choose] : choosers) {
                const queueing_result result = runQueues(choose, use, lag);
                fmt::print("{} {} {} {:.1f} {:.1f} {:.1f} {:.4f}\n", use, lag.count(), name,
                           result.mean, result.p99, result.p999, result.imbalance);
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    benchSelection();
    benchAllocation();
    benchQuality();
    return 0;
}
