// Lookups a second on one core, by number of client blocks and sites.
//
// Measures block_table::find() alone, against the scan of all blocks, and a whole lookup decision
// (table and lookup_policy) for a deployment with a given number of entry instances.

#include "steering/block_table.h"
#include "steering/lookup_policy.h"
#include "tests/steering/block_table_naive.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>
#include <set>
#include <vector>

DEFINE_uint64(seed, 1, "Seed of blocks and addresses");
DEFINE_double(seconds, 1.0, "Time for each measurement");

using namespace buckthorngrade;

namespace {

constexpr std::size_t addressCount = 1U << 16U;
constexpr std::size_t batch = 256;
constexpr int regions = 10;

std::vector<client_block> makeBlocks(std::mt19937_64 &random, std::size_t count, std::size_t sites)
{
    std::vector<client_block> blocks;
    std::set<std::string> known;
    blocks.reserve(count);
    while (blocks.size() < count) {
        // Mostly /24, some larger blocks that enclose others.
        const unsigned length = random() % 10 == 0 ? 16 + random() % 8 : 24;
        const auto bits = static_cast<std::uint32_t>(random())
            & (length == 32 ? ~0U : ~(0xffffffffU >> length));
        std::string text = fmt::format("{}.{}.{}.{}/{}", bits >> 24U, bits >> 16U & 255U,
                                       bits >> 8U & 255U, bits & 255U, length);
        if (!known.insert(text).second)
            continue;
        const std::size_t site = random() % sites;
        blocks.push_back(
            {std::move(text), fmt::format("r{}", site % regions), fmt::format("s{}", site)});
    }
    return blocks;
}

std::vector<client_address> makeAddresses(std::mt19937_64 &random,
                                          const std::vector<client_block> &blocks)
{
    std::vector<client_address> result;
    result.reserve(addressCount);
    for (std::size_t i = 0; i < addressCount; ++i) {
        client_address address = parseCidr(blocks[random() % blocks.size()].block).first;
        address.bytes[3] = static_cast<std::uint8_t>(random());
        result.push_back(address);
    }
    return result;
}

// Calls of `work(i)` a second of CPU time.
template <typename Work>
double measure(Work work)
{
    // CPU time, so that other work on the machine counts less.
    const std::clock_t start = std::clock();
    std::size_t calls = 0;
    double elapsed = 0;
    do {
        for (std::size_t i = 0; i < batch; ++i)
            work(calls + i);
        calls += batch;
        elapsed = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    } while (elapsed < FLAGS_seconds);
    return static_cast<double>(calls) / elapsed;
}

std::vector<lookup_candidate> makeInstances(int count)
{
    std::vector<lookup_candidate> result;
    for (int i = 0; i < count; ++i) {
        lookup_candidate item;
        item.status.name = fmt::format("entry-{}", i);
        item.status.region = fmt::format("r{}", i % regions);
        item.status.failureDomain = fmt::format("r{}-{}", i % regions, i / regions % 2);
        item.status.load = 0.3;
        result.push_back(item);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::uint64_t checksum = 0;
    fmt::print("blocks sites intervals table_kB build_ms table_lookups/s scan_lookups/s\n");
    for (const std::size_t count : {std::size_t{1000}, std::size_t{330'000}}) {
        for (const std::size_t sites : {std::size_t{10}, std::size_t{610}}) {
            std::mt19937_64 random(FLAGS_seed);
            const auto blocks = makeBlocks(random, count, sites);
            const auto addresses = makeAddresses(random, blocks);
            const auto start = std::chrono::steady_clock::now();
            const block_table table(blocks);
            const std::chrono::duration<double, std::milli> built
                = std::chrono::steady_clock::now() - start;
            const double fast = measure([&](std::size_t i) {
                checksum += table.find(addresses[i % addressCount]) != nullptr ? 1 : 0;
            });
            const block_table_naive reference(blocks);
            const double slow = measure([&](std::size_t i) {
                checksum += reference.find(addresses[i % addressCount]) ? 1 : 0;
            });
            fmt::print("{} {} {} {} {:.1f} {:.0f} {:.0f}\n", count, sites, table.intervalCount(),
                       table.intervalBytes() / 1024, built.count(), fast, slow);
        }
    }
    fmt::print(
        "instances decisions/s decisions_with_plan/s (with table; 330000 blocks, 610 sites)\n");
    topology deployment;
    for (int i = 0; i < regions; ++i) {
        deployment.regions.push_back({fmt::format("r{}", i), {}});
        for (int k = 0; k < regions; ++k)
            deployment.links.push_back({fmt::format("r{}", i), fmt::format("r{}", k), 1,
                                        std::chrono::milliseconds(10 + 5 * std::abs(i - k))});
    }
    const delay_table delays(deployment);
    std::mt19937_64 random(FLAGS_seed);
    const auto blocks = makeBlocks(random, 330'000, 610);
    const auto addresses = makeAddresses(random, blocks);
    const block_table table(blocks);
    for (const int count : {11, 100, 610}) {
        const auto instances = makeInstances(count);
        const double rate = measure([&](std::size_t i) {
            const client_address &address = addresses[i % addressCount];
            lookup_request request;
            request.service = "service";
            request.placementKey = placementKey(address);
            if (const block_target *target = table.find(address))
                request.region = target->region;
            checksum += decideLookup(request, instances, delays, {}).count;
        });
        // As an entry instance does it, with a plan for each region that is made once a second.
        std::map<std::string, lookup_plan, std::less<>> plans;
        for (int i = 0; i < regions; ++i) {
            lookup_request request;
            const std::string region = fmt::format("r{}", i);
            request.region = region;
            plans[region] = planLookup(request, instances, delays, {});
        }
        const double plannedRate = measure([&](std::size_t i) {
            const client_address &address = addresses[i % addressCount];
            lookup_request request;
            request.service = "service";
            request.placementKey = placementKey(address);
            const block_target *target = table.find(address);
            checksum += decideLookup(request, plans[target->region]).count;
        });
        fmt::print("{} {:.0f} {:.0f}\n", count, rate, plannedRate);
    }
    fmt::print("checksum {}\n", checksum);
    return 0;
}
