// Commit rate and latency of three replicas in one process, and the time a replica takes to start,
// by length of its log, and to store a snapshot, by size. Prints one line of key=value pairs for
// each measurement.

#include "agreement/posix_file_system.h"
#include "agreement/replica.h"
#include "testing/in_process_network.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(folder, "",
              "folder on a real disk for the replicas' data; it is created and removed");
DEFINE_int32(seconds, 5, "duration of each measurement of commits");
DEFINE_int32(command_bytes, 1024, "size of a command");
DEFINE_string(delays_ms, "0,55", "one-way delays between replicas");
DEFINE_string(writers, "1,16,256,2048", "numbers of commands that are under way at a time");
DEFINE_string(snapshot_megabytes, "1,16,64", "sizes of stored snapshots");
DEFINE_string(log_entries, "1000,10000,100000", "log lengths for the time to start");

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

using clock_type = std::chrono::steady_clock;

class byte_counter final : public state_machine
{
public:
    std::string apply(log_index, std::string_view command) override
    {
        m_bytes += command.size();
        return {};
    }
    std::string snapshot() const override { return std::to_string(m_bytes); }
    void restore(log_index, std::string_view snapshot) override
    {
        m_bytes = std::stoull(std::string(snapshot));
    }

private:
    std::uint64_t m_bytes = 0;
};

class silent_transport final : public peer_transport
{
public:
    void send(replica_id, std::string) override { }
};

struct environment
{
    posix_file_system files;
    system_clock_source clock;
    null_event_log events;
    metric_registry metrics;
};

replica_settings settingsFor(replica_id self, const std::vector<replica_id> &members)
{
    replica_settings settings;
    settings.cluster = "bench";
    settings.self = self;
    settings.members = members;
    settings.folder = std::filesystem::path(FLAGS_folder) / std::to_string(self);
    settings.initialize = true;
    return settings;
}

std::vector<int> numbersIn(const std::string &list)
{
    std::vector<int> numbers;
    for (std::size_t at = 0; at < list.size();) {
        const std::size_t end = std::min(list.find(',', at), list.size());
        numbers.push_back(std::stoi(list.substr(at, end - at)));
        at = end + 1;
    }
    return numbers;
}

double milliseconds(clock_type::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

struct cluster
{
    cluster(environment &env, std::chrono::milliseconds delay)
        : network(delay)
    {
        const std::vector<replica_id> ids{1, 2, 3};
        for (const replica_id id : ids) {
            machines.push_back(std::make_unique<byte_counter>());
            transports.push_back(network.transportOf(id));
            replicas.push_back(std::make_unique<replica>(settingsFor(id, ids), env.files,
                                                         *machines.back(), *transports.back(),
                                                         env.clock, env.events, env.metrics));
            network.attach(id, [to = replicas.back().get()](std::string bytes) {
                to->receive(std::move(bytes));
            });
        }
        for (const auto &one : replicas)
            one->start();
    }
    ~cluster()
    {
        for (replica_id id = 1; id <= replicas.size(); ++id)
            network.detach(id);
        for (const auto &one : replicas)
            one->stop();
    }
    replica &leader()
    {
        for (;;) {
            for (const auto &one : replicas)
                if (one->view().isLeader && one->confirmRead(1s).get())
                    return *one;
            std::this_thread::sleep_for(10ms);
        }
    }

    in_process_network network;
    std::vector<std::unique_ptr<byte_counter>> machines;
    std::vector<std::unique_ptr<peer_transport>> transports;
    std::vector<std::unique_ptr<replica>> replicas;
};

// Keeps `writers` commands under way from one thread, oldest first, and measures each from its
// submit to its result.
void measureCommits(int delayMs, int writers)
{
    environment env;
    std::filesystem::remove_all(FLAGS_folder);
    cluster group(env, std::chrono::milliseconds(delayMs));
    replica &leader = group.leader();
    const std::string command(static_cast<std::size_t>(FLAGS_command_bytes), 'c');
    struct pending
    {
        clock_type::time_point begin;
        std::future<submit_result> result;
    };
    std::deque<pending> underWay;
    std::vector<double> latencies;
    std::uint64_t failed = 0;
    const auto begin = clock_type::now();
    const auto end = begin + std::chrono::seconds(FLAGS_seconds);
    const auto finishOldest = [&] {
        if (underWay.front().result.get().outcome == submit_result::status::applied)
            latencies.push_back(milliseconds(clock_type::now() - underWay.front().begin));
        else
            ++failed;
        underWay.pop_front();
    };
    while (clock_type::now() < end) {
        if (underWay.size() < static_cast<std::size_t>(writers))
            underWay.push_back({clock_type::now(), leader.submit(command, 10s)});
        else
            finishOldest();
    }
    while (!underWay.empty())
        finishOldest();
    const double seconds = milliseconds(clock_type::now() - begin) / 1'000;
    std::ranges::sort(latencies);
    const auto quantile = [&](double q) {
        return latencies.empty()
            ? 0.0
            : latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
    };
    const auto stores = env.metrics.summary("bg_agreement_store_seconds").read();
    fmt::print("commits one_way_ms={} under_way={} bytes={} seconds={:.2f} committed={} failed={} "
               "per_second={:.0f} p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f} stores={} "
               "store_p50_ms={:.3f}\n",
               delayMs, writers, FLAGS_command_bytes, seconds, latencies.size(), failed,
               static_cast<double>(latencies.size()) / seconds, quantile(0.5), quantile(0.99),
               quantile(1), stores.count, stores.quantiles[0] * 1'000);
    std::fflush(stdout);
}

// A group of one, whose log is filled without snapshots and then read again: the time until the
// constructor returns, and until all entries are applied again.
void measureStart(environment &env, int entries)
{
    std::filesystem::remove_all(FLAGS_folder);
    replica_settings settings = settingsFor(1, {1});
    settings.snapshotAfterBytes = ~0ULL;
    silent_transport transport;
    log_index last = 0;
    {
        byte_counter machine;
        replica one(settings, env.files, machine, transport, env.clock, env.events, env.metrics);
        one.start();
        while (!one.view().isLeader)
            std::this_thread::sleep_for(1ms);
        const std::string command(static_cast<std::size_t>(FLAGS_command_bytes), 'c');
        std::deque<std::future<submit_result>> underWay;
        constexpr std::size_t window = 1'000;
        for (int i = 0; i < entries; ++i) {
            underWay.push_back(one.submit(command, 60s));
            if (underWay.size() >= window) {
                underWay.front().get();
                underWay.pop_front();
            }
        }
        for (auto &result : underWay)
            last = result.get().index;
        one.stop();
    }
    settings.initialize = false;
    const auto begin = clock_type::now();
    byte_counter machine;
    replica one(settings, env.files, machine, transport, env.clock, env.events, env.metrics);
    const double opened = milliseconds(clock_type::now() - begin);
    one.start();
    while (one.view().appliedIndex < last)
        std::this_thread::sleep_for(1ms);
    const double applied = milliseconds(clock_type::now() - begin);
    fmt::print("start log_entries={} bytes={} open_ms={:.1f} election_and_apply_ms={:.1f}\n",
               entries, FLAGS_command_bytes, opened, applied - opened);
    std::fflush(stdout);
}

// A replica stores a snapshot beside its other work.
void measureSnapshot(environment &env, int megabytes)
{
    std::filesystem::remove_all(FLAGS_folder);
    replica_storage storage(env.files, FLAGS_folder, replica_settings().segmentBytes);
    storage.initialize({{"bench", 1, 1}, true, {}});
    log_snapshot snapshot;
    snapshot.index = 1;
    snapshot.term = 1;
    snapshot.data.assign(static_cast<std::size_t>(megabytes) << 20, 's');
    const auto begin = clock_type::now();
    storage.storeSnapshot(snapshot);
    fmt::print("snapshot megabytes={} store_ms={:.1f}\n", megabytes,
               milliseconds(clock_type::now() - begin));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_folder.empty() || std::filesystem::exists(FLAGS_folder)) {
        fmt::print(stderr, "--folder must name a folder that does not exist yet\n");
        return 1;
    }
    environment env;
    for (const int delay : numbersIn(FLAGS_delays_ms))
        for (const int writers : numbersIn(FLAGS_writers))
            measureCommits(delay, writers);
    for (const int entries : numbersIn(FLAGS_log_entries))
        measureStart(env, entries);
    for (const int megabytes : numbersIn(FLAGS_snapshot_megabytes))
        measureSnapshot(env, megabytes);
    std::filesystem::remove_all(FLAGS_folder);
}
