#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

struct soak_options
{
    std::string binary; // of buckthorngrade
    std::uint64_t seed = 1; // of the faults and their times
    std::chrono::seconds length{10}; // of the time with faults
    std::size_t controls = 3;
    std::size_t entries = 3;
    std::size_t upstreams = 6;
    std::size_t callers = 6;
    std::string
        logFolder; // the processes' logs of a run with faults found go there; empty: nowhere
};

struct soak_result
{
    std::vector<std::string> faults; // promises that were broken
    std::vector<std::string> events; // what was done to the processes, in order
    std::size_t requests = 0;
    std::size_t served = 0;
};

// Runs real control and entry processes with callers and upstreams, injects faults from outside
// (signals, an emptied disk, a proxy before each upstream, upstreams that misbehave) in overlapping
// series drawn from the seed, changes the routing meanwhile, and checks what callers, upstreams and
// operators see:
//
// - a request that may run once runs once at most, and not at all after a refusal;
// - a successful answer is the upstream's whole answer to that request;
// - an acknowledged change is read back, and an entry process never goes back to an older one;
// - no process ends by itself;
// - after the last fault requests are served again, and a draining upstream gets nothing more.
soak_result runSoak(const soak_options &options);

} // namespace buckthorngrade
