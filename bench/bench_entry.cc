// Measures what an entry instance adds to a request, and how many look-ups it answers.
//
// Control, entry and upstream are real processes on loopback. Direct calls and calls through the
// entry instance alternate within one run, so that both see the same machine.

#include "base/error.h"
#include "testing/deployment.h"
#include "testing/http_connection.h"
#include "testing/wait.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <sys/times.h>
#include <unistd.h>

DEFINE_uint32(requests, 20000, "requests of each kind");
DEFINE_uint32(warmup, 500, "requests of each kind that are not counted");
DEFINE_uint32(lookup_seconds, 5, "time to measure look-ups");
DEFINE_uint32(lookup_callers, 4, "connections that ask for look-ups");

using namespace buckthorngrade;

namespace {

using microseconds = std::chrono::duration<double, std::micro>;

// A kept-alive connection that sends the same request again and again.
class caller
{
public:
    caller(const std::string &address, const std::string &path)
        : m_socket(Poco::Net::SocketAddress(address))
        , m_connection(m_socket)
        , m_request(fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\n\r\n", path))
    {
        m_socket.setNoDelay(true);
    }

    microseconds call()
    {
        const auto start = std::chrono::steady_clock::now();
        m_connection.send(m_request);
        Poco::Net::HTTPResponse response;
        if (!m_connection.readHead(response) || response.getStatus() != 200
            || !m_connection.readBody(response, [](std::string_view) {}))
            throw error(fmt::format("the answer was {}", static_cast<int>(response.getStatus())));
        return std::chrono::steady_clock::now() - start;
    }

private:
    Poco::Net::StreamSocket m_socket;
    http_connection m_connection;
    const std::string m_request;
};

double quantile(const std::vector<microseconds> &sorted, double level)
{
    const auto index = static_cast<std::size_t>(level * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)].count();
}

// Processor time that a process has used, in seconds.
double processorTime(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/stat", id));
    std::string text;
    std::getline(file, text);
    // The fields after the name, which ends with the last ')': utime and stime are the 12th and
    // 13th of them.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void measureLatency(const deployment &system)
{
    // A path that the stand-in answers without a durable record, whose sync would hide the rest.
    caller direct(system.address("lookup-1"), "/healthz");
    caller through(system.address("entry-1"), "/svc/lookup/healthz");
    std::vector<microseconds> directTimes;
    std::vector<microseconds> throughTimes;
    for (std::uint32_t i = 0; i < FLAGS_warmup + FLAGS_requests; ++i) {
        const auto a = direct.call();
        const auto b = through.call();
        if (i >= FLAGS_warmup) {
            directTimes.push_back(a);
            throughTimes.push_back(b);
        }
    }
    std::ranges::sort(directTimes);
    std::ranges::sort(throughTimes);
    fmt::print("latency of {} requests, one at a time, in microseconds\n", FLAGS_requests);
    fmt::print("{:>8} {:>10} {:>10} {:>10} {:>8}\n", "", "direct", "through", "added", "ratio");
    for (const double level : {0.5, 0.99, 0.999}) {
        const double a = quantile(directTimes, level);
        const double b = quantile(throughTimes, level);
        fmt::print("{:>8} {:>10.1f} {:>10.1f} {:>10.1f} {:>8.2f}\n",
                   fmt::format("p{:g}", level * 100), a, b, b - a, b / a);
    }
}

void measureLookups(deployment &system)
{
    const pid_t entry = system.find("entry-1")->id();
    std::atomic<bool> isDone = false;
    std::atomic<std::uint64_t> answers = 0;
    std::vector<std::thread> threads;
    const double before = processorTime(entry);
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < FLAGS_lookup_callers; ++i)
        threads.emplace_back([&, i] {
            caller lookups(system.address("entry-1"),
                           fmt::format("/v1/lookup?service=lookup&client=127.0.{}.7", i % 3 + 1));
            while (!isDone) {
                lookups.call();
                ++answers;
            }
        });
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_lookup_seconds));
    isDone = true;
    for (std::thread &thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double used = processorTime(entry) - before;
    const auto count = static_cast<double>(answers.load());
    fmt::print("look-ups over HTTP, {} connections: {:.0f} a second, {:.2f} cores of the entry "
               "instance, {:.0f} a second and core\n",
               FLAGS_lookup_callers, count / elapsed.count(), used / elapsed.count(), count / used);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("latency that an entry instance adds, and its look-ups");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        deployment system(
            {.controls = 1, .entries = 1, .serviceTime = std::chrono::milliseconds(0)});
        system.startAll();
        measureLatency(system);
        measureLookups(system);
        return 0;
    } catch (const std::exception &failure) {
        fmt::print(stderr, "bench_entry: {}\n", failure.what());
        return 1;
    }
}
