// Stand-in upstream; see testing/stand_in.h for its paths.

#include "base/error.h"
#include "base/event_log.h"
#include "base/yaml_reader.h"
#include "testing/stand_in.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "IP:port to listen on; with port 0 the system chooses one");
DEFINE_string(name, "upstream", "name in answers and records");
DEFINE_uint32(slots, 4, "requests that run at the same time");
DEFINE_uint32(connections, 400, "open connections at the same time");
DEFINE_string(service_time, "0ms", "time to run a request");
DEFINE_string(cold_time, "0ms", "requests are slower for this long after the start");
DEFINE_double(cold_factor, 10, "service time right after the start, relative to later");
DEFINE_bool(shed, true, "answer 503 with 'Not-Run: true' beyond the slots");
DEFINE_string(record, "", "file that gets one JSON line for each request that is run");
DEFINE_string(drain_limit, "60s", "on SIGTERM, longest wait for requests in flight");
DEFINE_uint64(seed, 1, "seed for faults with a probability");

namespace {

std::chrono::milliseconds durationFlag(const std::string &name, const std::string &value)
{
    const auto duration = buckthorngrade::parseDuration(value);
    if (!duration)
        throw buckthorngrade::error("--" + name + " must be a time with its unit: " + value);
    return *duration;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("HTTP upstream for tests and demonstrations");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    // Blocked in all threads, so that sigwait below gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        buckthorngrade::stand_in_options options;
        options.address = FLAGS_address;
        options.name = FLAGS_name;
        options.slots = FLAGS_slots;
        options.connections = FLAGS_connections;
        options.serviceTime = durationFlag("service_time", FLAGS_service_time);
        options.coldTime = durationFlag("cold_time", FLAGS_cold_time);
        options.coldFactor = FLAGS_cold_factor;
        options.shed = FLAGS_shed;
        options.recordFile = FLAGS_record;
        options.seed = FLAGS_seed;
        const auto drainLimit = durationFlag("drain_limit", FLAGS_drain_limit);
        buckthorngrade::stand_in upstream(options);
        buckthorngrade::stderr_event_log log(FLAGS_name, buckthorngrade::log_level::info);
        log.write(buckthorngrade::event_id::stand_in_started, {{"address", upstream.address()}});
        std::cout << upstream.address() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        upstream.setDraining(true);
        return upstream.waitIdle(drainLimit) ? 0 : 1;
    } catch (const buckthorngrade::error &failure) {
        std::cerr << "stand_in_upstream: " << failure.what() << "\n";
        return 2;
    }
}
