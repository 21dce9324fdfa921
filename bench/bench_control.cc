// The control service with real processes: commits over HTTP, the time until light subscribers have
// a change, catch-up, and what a control instance spends on its subscribers. Prints one line of
// key=value pairs for each measurement.
//
// The light subscribers run in this process. Each has a gRPC connection of its own through one
// fault_proxy, which counts the bytes of its TCP stream, and does what an entry instance does on
// its control links: a feed stream and a probe a second and, if asked for, a report a second.

#include "base/error.h"
#include "link.grpc.pb.h"
#include "testing/deployment.h"
#include "testing/http_connection.h"
#include "testing/wait.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

DEFINE_int32(seconds, 5, "duration of each measurement of commits and of costs");
DEFINE_int32(changes, 30, "changes of each measurement of the time in force");
DEFINE_int32(delay_ms, 55, "one-way delay between control instances in the measurement with delay");
DEFINE_string(writers, "1,8,32", "numbers of edits that are under way at a time");
DEFINE_string(subscribers, "11,100", "numbers of subscribers for the time in force");
DEFINE_string(cost_subscribers, "0,10,30,100,300", "numbers of subscribers for the costs");
DEFINE_int32(missed_changes, 500, "changes that a subscriber misses before it catches up");

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

using clock_type = std::chrono::steady_clock;
using milliseconds_double = std::chrono::duration<double, std::milli>;

std::vector<int> numbers(const std::string &list)
{
    std::vector<int> result;
    std::istringstream words(list);
    for (std::string word; std::getline(words, word, ',');)
        result.push_back(std::stoi(word));
    return result;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string summary(const std::vector<double> &values)
{
    return fmt::format("p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f}", quantile(values, 0.5),
                       quantile(values, 0.99), quantile(values, 1));
}

http_request editOf(const std::string &profile, std::uint64_t base)
{
    static std::atomic<int> counter = 0;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return {.method = "PUT",
            .path = fmt::format("/v1/profiles/{}?base_version={}", profile, base),
            .headers = {{"Request-Id", fmt::format("{}-bench{}", now.count(), ++counter)},
                        {"Operator", "bench"},
                        {"Reason", "bench"}},
            .body = fmt::format("name: {}\nweights:\n  latency: 50%\n  headroom: 50%\n"
                                "# {}\n",
                                profile, std::string(900, 'x'))};
}

std::uint64_t revisionIn(const http_response &answer)
{
    if (answer.status != 200)
        throw error(fmt::format("an edit was answered {}: {}{}", answer.status, answer.body,
                                answer.failure));
    return Poco::JSON::Parser()
        .parse(answer.body)
        .extract<Poco::JSON::Object::Ptr>()
        ->getValue<std::uint64_t>("revision");
}

void measureCommits(deployment &system, int delayMs, int writers)
{
    const std::string address = system.address(system.leader());
    std::mutex mutex;
    std::vector<double> times;
    std::size_t failed = 0;
    const auto begin = clock_type::now();
    const auto end = begin + std::chrono::seconds(FLAGS_seconds);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(writers));
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&, writer] {
            http_connection connection{Poco::Net::StreamSocket(Poco::Net::SocketAddress(address))};
            const std::string profile = fmt::format("w{}-{}-{}", delayMs, writers, writer);
            std::uint64_t version = 0;
            while (clock_type::now() < end) {
                const auto start = clock_type::now();
                const http_response answer = exchange(connection, editOf(profile, version));
                const double time = milliseconds_double(clock_type::now() - start).count();
                const std::lock_guard lock(mutex);
                if (answer.status != 200) {
                    ++failed;
                    return;
                }
                ++version;
                times.push_back(time);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(clock_type::now() - begin).count();
    fmt::print("commits one_way_ms={} under_way={} bytes=1000 seconds={:.1f} committed={} "
               "failed={} per_second={:.0f} {}\n",
               delayMs, writers, seconds, times.size(), failed,
               static_cast<double>(times.size()) / seconds, summary(times));
    std::fflush(stdout);
}

// Revisions that subscribers have reached.
class arrivals
{
public:
    void add(std::uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[revision];
        m_changed.notify_all();
    }
    // Waits until `count` subscribers have `revision` and returns that time.
    clock_type::time_point wait(std::uint64_t revision, std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        const bool done
            = m_changed.wait_for(lock, 30s, [&] { return m_counts[revision] >= count; });
        if (!done)
            throw error(fmt::format("revision {} reached {} of {} subscribers", revision,
                                    m_counts[revision], count));
        return clock_type::now();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, std::size_t> m_counts;
};

// The feed of one entry instance.
class light_subscriber final : public grpc::ClientReadReactor<wire::feed_update>
{
public:
    light_subscriber(const std::string &address, std::string cluster, const std::string &name,
                     std::uint64_t known, arrivals &target)
        : m_cluster(std::move(cluster))
        , m_name(name)
        , m_revision(known)
        , m_target(target)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        m_channel
            = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        if (!m_channel->WaitForConnected(std::chrono::system_clock::now() + 20s))
            throw error("a subscriber can't connect");
        m_feed = wire::state_feed::NewStub(m_channel);
        m_link = wire::instance_link::NewStub(m_channel);
        m_request.set_cluster(m_cluster);
        m_request.set_instance(name);
        m_request.set_incarnation(1);
        m_request.set_revision(known);
        m_feed->async()->Subscribe(&m_context, &m_request, this);
        StartRead(&m_update);
        StartCall();
    }
    ~light_subscriber() override
    {
        m_context.TryCancel();
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [this] { return m_isDone; });
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        m_bytes += m_update.ByteSizeLong();
        const std::uint64_t revision = m_update.has_full() ? m_update.full().revision()
            : m_update.has_change()                        ? m_update.change().revision()
                                                           : 0;
        if (revision > m_revision) {
            m_revision = revision;
            m_target.add(revision);
        }
        StartRead(&m_update);
    }
    void OnDone(const grpc::Status &) override
    {
        const std::lock_guard lock(m_mutex);
        m_isDone = true;
        m_ended.notify_all();
    }

    // What an entry instance sends each second.
    void tick(bool reports)
    {
        {
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + 5s);
            wire::probe_request request;
            request.set_cluster(m_cluster);
            wire::probe_reply reply;
            m_link->Probe(&context, request, &reply);
        }
        if (!reports)
            return;
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + 5s);
        wire::report_request request;
        request.set_cluster(m_cluster);
        request.set_instance(m_name);
        request.set_incarnation(1);
        request.set_revision(m_revision);
        request.set_ready(true);
        request.set_region("r1");
        request.set_failure_domain("r1-a");
        request.set_http_address("127.0.0.1:1");
        wire::report_reply reply;
        m_link->Report(&context, request, &reply);
    }

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    std::string m_cluster;
    std::string m_name;
    std::atomic<std::uint64_t> m_revision;
    std::atomic<std::uint64_t> m_bytes = 0;
    arrivals &m_target;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::state_feed::Stub> m_feed;
    std::unique_ptr<wire::instance_link::Stub> m_link;
    grpc::ClientContext m_context;
    wire::subscribe_request m_request;
    wire::feed_update m_update;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isDone = false;
};

std::string clusterOf(const deployment &system)
{
    const std::string text = readWholeFile(system.folder() / "deployment-control-1.yaml");
    const auto start = text.find("cluster:") + 8;
    std::string word = text.substr(start, text.find('\n', start) - start);
    std::erase(word, ' ');
    return word;
}

std::vector<std::unique_ptr<light_subscriber>> subscribe(deployment &system,
                                                         const std::string &control, int count,
                                                         std::uint64_t known, arrivals &target)
{
    std::vector<std::unique_ptr<light_subscriber>> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        result.push_back(std::make_unique<light_subscriber>(
            system.link("entry-1", control).address(), clusterOf(system),
            fmt::format("light-{}", i), known, target));
    return result;
}

std::string follower(const deployment &system)
{
    const std::string leader = system.leader();
    const auto names = system.controlNames();
    return *std::ranges::find_if(names, [&](const auto &name) { return name != leader; });
}

std::uint64_t forceVersion = 0;

std::uint64_t changeOnce(deployment &system)
{
    const std::uint64_t revision
        = revisionIn(exchange(system.address(system.leader()), editOf("force", forceVersion)));
    ++forceVersion;
    return revision;
}

// Between sending the edit and its arrival at the last subscriber; all subscribe to a follower.
void measureInForce(deployment &system, int count)
{
    arrivals target;
    const auto subscribers = subscribe(system, follower(system), count, 0, target);
    changeOnce(system);
    const std::string address = system.address(system.leader());
    std::vector<double> times;
    for (int i = 0; i < FLAGS_changes; ++i) {
        const http_request edit = editOf("force", forceVersion);
        const auto start = clock_type::now();
        const std::uint64_t revision = revisionIn(exchange(address, edit));
        ++forceVersion;
        const auto done = target.wait(revision, static_cast<std::size_t>(count));
        times.push_back(milliseconds_double(done - start).count());
        std::this_thread::sleep_for(50ms); // keeps the changes apart
    }
    fmt::print("in_force subscribers={} changes={} {}\n", count, times.size(), summary(times));
    std::fflush(stdout);
}

void measureCatchUp(deployment &system)
{
    const std::uint64_t before = changeOnce(system);
    std::uint64_t last = before;
    for (int i = 0; i < FLAGS_missed_changes; ++i)
        last = changeOnce(system);
    const std::string control = follower(system);
    waitUntil("the follower has the last change", [&] {
        const http_response answer = exchange(system.address(control), {.path = "/v1/status"});
        return answer.status == 200
            && Poco::JSON::Parser()
                   .parse(answer.body)
                   .extract<Poco::JSON::Object::Ptr>()
                   ->getValue<std::uint64_t>("revision")
            >= last;
    });
    for (const std::uint64_t known : {before, std::uint64_t(0)}) {
        std::vector<double> times;
        std::uint64_t bytes = 0;
        for (int i = 0; i < FLAGS_changes; ++i) {
            arrivals target;
            const auto start = clock_type::now();
            const auto subscribers = subscribe(system, control, 1, known, target);
            times.push_back(milliseconds_double(target.wait(last, 1) - start).count());
            bytes = subscribers.front()->bytes();
        }
        fmt::print("catch_up missed={} from_revision={} payload_bytes={} {}\n",
                   FLAGS_missed_changes, known == 0 ? "none" : "old", bytes, summary(times));
    }
    std::fflush(stdout);
}

struct usage
{
    double cpuSeconds = 0;
    double residentMb = 0;
};

usage usageOf(pid_t id)
{
    std::ifstream stat(fmt::format("/proc/{}/stat", id));
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> words;
    for (std::string word; fields >> word;)
        words.push_back(word);
    usage result;
    result.cpuSeconds
        = (std::stod(words[11]) + std::stod(words[12])) / static_cast<double>(sysconf(_SC_CLK_TCK));
    result.residentMb = std::stod(words[21]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return result;
}

void measureCosts(deployment &system, int count, bool reports)
{
    const std::string control = system.leader(); // only the leader answers reports
    arrivals target;
    const auto subscribers = subscribe(system, control, count, 0, target);
    std::atomic<bool> stopping = false;
    constexpr int tickers = 4;
    std::vector<std::thread> threads;
    threads.reserve(tickers);
    for (int ticker = 0; ticker < tickers; ++ticker) {
        threads.emplace_back([&, ticker] {
            while (!stopping) {
                const auto next = clock_type::now() + 1s;
                for (std::size_t i = ticker; i < subscribers.size(); i += tickers)
                    subscribers[i]->tick(reports);
                std::this_thread::sleep_until(next);
            }
        });
    }
    std::this_thread::sleep_for(3s); // registrations and first snapshots are not measured
    fault_proxy &link = system.link("entry-1", control);
    const usage before = usageOf(system.find(control)->id());
    const auto bytesBefore = link.read().bytes;
    const auto begin = clock_type::now();
    const int changes = std::max(1, static_cast<int>(0.22 * FLAGS_seconds));
    for (int i = 0; i < changes; ++i)
        changeOnce(system);
    std::this_thread::sleep_until(begin + std::chrono::seconds(FLAGS_seconds));
    const double seconds = std::chrono::duration<double>(clock_type::now() - begin).count();
    const usage after = usageOf(system.find(control)->id());
    const auto bytesAfter = link.read().bytes;
    const double perSubscriber = count == 0 ? 0 : 1.0 / count / seconds;
    fmt::print("cost subscribers={} reports={} seconds={:.1f} changes={} cpu_percent={:.2f} "
               "resident_mb={:.1f} bytes_to_control_per_subscriber_s={:.0f} "
               "bytes_from_control_per_subscriber_s={:.0f}\n",
               count, reports, seconds, changes,
               100 * (after.cpuSeconds - before.cpuSeconds) / seconds, after.residentMb,
               static_cast<double>(bytesAfter[0] - bytesBefore[0]) * perSubscriber,
               static_cast<double>(bytesAfter[1] - bytesBefore[1]) * perSubscriber);
    std::fflush(stdout);
    stopping = true;
    for (std::thread &thread : threads)
        thread.join();
}

void startControls(deployment &system)
{
    for (const std::string &name : system.controlNames())
        system.start(name);
    system.waitForLeader();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        {
            deployment system({.controls = 3, .entries = 1, .proxyControls = true});
            startControls(system);
            for (const int writers : numbers(FLAGS_writers))
                measureCommits(system, 0, writers);
            for (const std::string &from : system.controlNames())
                for (const std::string &to : system.controlNames())
                    for (const auto way : {fault_proxy::to_target, fault_proxy::to_client})
                        if (from != to)
                            system.link(from, to).setConditions(
                                way, {.delay = std::chrono::milliseconds(FLAGS_delay_ms)});
            for (const int writers : numbers(FLAGS_writers))
                measureCommits(system, FLAGS_delay_ms, writers);
        }
        deployment system({.controls = 3, .entries = 1, .proxyControls = true});
        startControls(system);
        for (const int count : numbers(FLAGS_subscribers))
            measureInForce(system, count);
        for (const bool reports : {false, true})
            for (const int count : numbers(FLAGS_cost_subscribers))
                measureCosts(system, count, reports);
        measureCatchUp(system);
    } catch (const error &failure) {
        fmt::print(stderr, "bench_control: {}\n", failure.what());
        return 1;
    }
    return 0;
}
