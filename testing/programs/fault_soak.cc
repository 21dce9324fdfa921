// Runs the fault soak over seeds and prints which promises were broken, with the seed. Exits with 1
// if any was.

#include "base/error.h"
#include "testing/soak_run.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>

DEFINE_string(binary, "", "buckthorngrade program to run");
DEFINE_string(seeds, "1", "seeds: numbers, and ranges like 1-50, separated by commas");
DEFINE_uint32(seconds, 10, "seconds with faults in each run");
DEFINE_uint32(controls, 3, "control processes");
DEFINE_uint32(entries, 3, "entry processes");
DEFINE_string(logs, "", "folder for the logs of failed runs");

namespace {

std::vector<std::uint64_t> parseSeeds(const std::string &text)
{
    std::vector<std::uint64_t> result;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto dash = part.find('-');
        const std::uint64_t first = std::stoull(part.substr(0, dash));
        const std::uint64_t last
            = dash == std::string::npos ? first : std::stoull(part.substr(dash + 1));
        for (std::uint64_t seed = first; seed <= last; ++seed)
            result.push_back(seed);
    }
    return result;
}

} // namespace

int main(int count, char **arguments)
{
    gflags::SetUsageMessage("runs the fault soak; --binary is required");
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    std::size_t passed = 0;
    std::size_t failed = 0;
    try {
        for (const std::uint64_t seed : parseSeeds(FLAGS_seeds)) {
            buckthorngrade::soak_options options;
            options.binary = FLAGS_binary;
            options.seed = seed;
            options.length = std::chrono::seconds(FLAGS_seconds);
            options.controls = FLAGS_controls;
            options.entries = FLAGS_entries;
            options.logFolder = FLAGS_logs;
            const auto result = buckthorngrade::runSoak(options);
            ++(result.faults.empty() ? passed : failed);
            fmt::print("seed {}: {} requests, {} served, {} events: {}\n", seed, result.requests,
                       result.served, result.events.size(),
                       result.faults.empty() ? "OK" : "FAILED");
            for (const std::string &fault : result.faults)
                fmt::print("  {}\n", fault);
            if (!result.faults.empty())
                for (const std::string &event : result.events)
                    fmt::print("    {}\n", event);
            std::fflush(stdout);
        }
    } catch (const std::exception &failure) {
        fmt::print(stderr, "fault_soak: {}\n", failure.what());
        return 2;
    }
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 && passed > 0 ? 0 : 1;
}
