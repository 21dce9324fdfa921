#include "testing/soak_run.h"

#include "base/error.h"
#include "testing/free_port.h"
#include "testing/http_client.h"
#include "testing/soak_callers.h"
#include "testing/soak_processes.h"
#include "testing/soak_upstreams.h"
#include "testing/wait.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <map>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace buckthorngrade {

namespace {

using namespace std::chrono_literals;

const std::vector<std::string> domains = {"east-a", "east-b", "west-a"};
constexpr auto recoveryLimit = 90s; // decides only when a run gives up
constexpr std::uint64_t successesOfRecovery = 30;
// So many that an upstream in use is not missed by chance: it gets one in six.
constexpr std::uint64_t successesBesideDrain = 300;
constexpr const char *host = "test"; // as the test client names it
constexpr int ok = 200;
constexpr int temporaryRedirect = 307;
constexpr int notFound = 404;

// The routing document of a version: it adds a path of its own to those of all earlier versions.
std::string routingText(std::uint64_t version)
{
    nlohmann::json rows = nlohmann::json::array();
    const auto add = [&](const std::string &name, const std::string &prefix, const char *kind) {
        rows.push_back({name, host, prefix, kind, "1500ms", "500ms", 1, "s", 2, true});
    };
    add("safe", "/safe/", "safe");
    add("once", "/once/", "unsafe");
    for (std::uint64_t i = 1; i <= version; ++i)
        add(fmt::format("v{}", i), fmt::format("/v{}/", i), "safe");
    return nlohmann::json{
        {"version", version},
        {"routes",
         {{"columns",
           {"name", "host", "path_prefix", "kind", "timeout", "target_latency", "priority",
            "service", "max_attempts", "sticky_sessions"}},
          {"rows", rows}}},
        {"services",
         {{"columns", {"name", "health_path", "max_conns", "cold_start", "cold_per_s"}},
          {"rows", {{"s", "/health", 300, "1s", 100}}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 1 << 20},
          {"header_timeout", "3s"},
          {"idle_timeout", "15s"}}}}
        .dump();
}

class soak
{
public:
    explicit soak(const soak_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_processes(options.binary, networkOf(), portOf(), domains, options.controls,
                      options.entries)
        , m_upstreams(m_record, m_processes.listAddress(), options.upstreams, domains, options.seed)
    { }

    soak_result run()
    {
        m_processes.startAll();
        putRouting(recoveryLimit);
        {
            const soak_callers callers(m_record, directories(), m_options.callers, "east", "east-a",
                                       m_options.seed);
            if (waitForService(callers, "first requests are served")) {
                injectFaults();
                heal();
                if (waitForService(callers, "requests are served again")) {
                    checkRouting();
                    checkDrain(callers);
                }
                checkProcesses();
            }
        }
        m_record.finish();
        soak_result result{m_record.faults(), m_events, m_record.requests(), m_record.served()};
        if (!result.faults.empty() && !m_options.logFolder.empty())
            keepLogs();
        return result;
    }

private:
    using clock = std::chrono::steady_clock;

    // Runs at the same time use different addresses.
    static std::string networkOf()
    {
        const auto id = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.", 20 + id / 250 % 200, 1 + id % 250);
    }
    static int portOf()
    {
        constexpr int mostPorts = 10;
        return std::min<int>(free_port().number(), 65'535 - mostPorts);
    }

    bool isControl(std::size_t index) { return m_processes.at(index).isControl; }
    std::vector<std::string> directories()
    {
        std::vector<std::string> result;
        for (std::size_t i = 0; i < m_options.controls; ++i)
            result.push_back(m_processes.directoryAddress(i));
        return result;
    }
    void note(const std::string &what)
    {
        m_events.push_back(fmt::format(
            "{:6} ms {}",
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_start).count(),
            what));
    }
    std::chrono::milliseconds draw(int least, int most)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }
    void later(std::chrono::milliseconds delay, std::function<void()> task)
    {
        m_pending.emplace(clock::now() + delay, std::move(task));
    }

    // Sends a change until it is acknowledged or the time is over; an acknowledgement may be lost.
    void putRouting(std::chrono::milliseconds limit)
    {
        const std::uint64_t version = ++m_version;
        const auto until = clock::now() + limit;
        do {
            std::string address = m_processes.controlAddress(m_random() % m_options.controls);
            for (int redirects = 0; redirects < 3; ++redirects) {
                http_request request{.method = "PUT", .path = "/v1/config"};
                request.headers = {{"Content-Type", "application/json"}};
                request.body = routingText(version);
                request.timeout = 1s;
                const http_response response = buckthorngrade::exchange(address, request);
                if (response.status == ok) {
                    m_record.acknowledged(version);
                    note(fmt::format("version {} acknowledged", version));
                    return;
                }
                if (response.status != temporaryRedirect)
                    break;
                const std::string to = response.header("location");
                const auto start = to.find("//") + 2;
                address = to.substr(start, to.find('/', start) - start);
            }
            runDue();
        } while (clock::now() < until);
        note(fmt::format("version {} without an answer", version));
    }

    void readRouting()
    {
        const std::uint64_t newest = m_record.newestAcknowledged();
        const http_response response
            = exchange(m_processes.controlAddress(m_random() % m_options.controls),
                       {.path = "/v1/config", .timeout = 1s});
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (response.status == ok && body.is_object())
            m_record.readBack(body.value("version", std::uint64_t{0}), newest);
    }

    void probeEntry()
    {
        const std::size_t index = m_options.controls + m_random() % m_options.entries;
        if (!m_processes.isUp(index))
            return;
        const auto &item = m_processes.at(index);
        const std::string name = fmt::format("{} start {}", item.name, item.starts);
        const std::uint64_t version = 1 + m_random() % m_version;
        const http_response response
            = exchange(m_processes.entryAddress(index),
                       {.path = fmt::format("/v{}/x", version),
                        .headers = {{"X-Buckthorngrade-Request-Id", "probe"}},
                        .timeout = 1s});
        if (response.status == ok || response.status == notFound)
            m_record.sawRoute(name, version, response.status == ok);
    }

    void runDue()
    {
        while (!m_pending.empty() && m_pending.begin()->first <= clock::now()) {
            const auto task = std::move(m_pending.begin()->second);
            m_pending.erase(m_pending.begin());
            task();
        }
    }

    void injectFaults()
    {
        const auto until = clock::now() + m_options.length;
        while (clock::now() < until) {
            injectOne();
            const auto next = clock::now() + draw(50, 900);
            while (clock::now() < next) {
                runDue();
                probeEntry();
                readRouting();
                checkProcesses();
                std::this_thread::sleep_for(20ms);
            }
        }
    }

    // A process that ends by itself is reported once, and started again as the platform does.
    void checkProcesses()
    {
        for (const std::string &name : m_processes.endedByThemselves()) {
            m_record.broken(name + " ended by itself");
            for (std::size_t i = 0; i < m_processes.size(); ++i)
                if (m_processes.at(i).name == name)
                    m_processes.start(i);
        }
    }

    void injectOne()
    {
        const std::size_t node = m_random() % m_processes.size();
        const std::size_t upstream = m_random() % m_upstreams.size();
        switch (m_random() % 8) {
        case 0:
            killProcess(node);
            return;
        case 1:
            pauseProcess(node);
            return;
        case 2:
            stopProcess(node);
            return;
        case 3:
            if (!m_hasWiped)
                wipeControl(m_random() % m_options.controls);
            return;
        case 4:
            disturbLink(upstream);
            return;
        case 5:
            disturbUpstream(upstream);
            return;
        case 6:
            note(fmt::format("upstream {} is replaced", upstream));
            m_upstreams.replace(upstream);
            return;
        default:
            putRouting(2s);
        }
    }

    void restartLater(std::size_t index)
    {
        later(draw(50, 1'500), [this, index] {
            if (m_processes.at(index).running)
                return;
            note(m_processes.at(index).name + " starts");
            m_processes.start(index);
        });
    }
    void killProcess(std::size_t index)
    {
        if (!m_processes.at(index).running)
            return;
        note(m_processes.at(index).name + " is killed");
        m_processes.kill(index);
        restartLater(index);
    }
    void pauseProcess(std::size_t index)
    {
        if (!m_processes.isUp(index))
            return;
        const auto time = draw(100, 2'500);
        note(fmt::format("{} is paused for {} ms", m_processes.at(index).name, time.count()));
        m_processes.pause(index);
        later(time, [this, index] { m_processes.resume(index); });
    }
    void stopProcess(std::size_t index)
    {
        if (!m_processes.isUp(index))
            return;
        note(m_processes.at(index).name + " gets SIGTERM");
        m_processes.terminate(index);
        later(6s, [this, index] { killProcess(index); });
        later(7'600ms, [this, index] { restartLater(index); });
    }
    // An emptied disk counts as a loss until the instance has caught up, so a group of three bears
    // one in a run, while the others run.
    void wipeControl(std::size_t index)
    {
        for (std::size_t i = 0; i < m_options.controls; ++i)
            if (!m_processes.isUp(i))
                return;
        m_hasWiped = true;
        note(m_processes.at(index).name + " is killed and loses its disk");
        m_processes.kill(index);
        m_processes.wipe(index);
        restartLater(index);
    }
    void disturbLink(std::size_t index)
    {
        fault_proxy &proxy = m_upstreams.proxy(index);
        const auto kind = m_random() % 6;
        note(fmt::format("link to upstream {}: disturbance {}", index, kind));
        if (kind == 0)
            proxy.resetAll();
        else if (kind == 1)
            proxy.partition(true, true, link_conditions::flow::discard);
        else if (kind == 2)
            proxy.partition(m_random() % 2 == 0, true);
        else if (kind == 3)
            proxy.setRefusing(true);
        else if (kind == 4)
            proxy.leaveHalfOpen();
        else
            proxy.setConditions(fault_proxy::to_client,
                                {.delay = 50ms, .jitter = 200ms, .resetProbability = 0.05});
        later(draw(100, 2'000), [&proxy] { proxy.heal(); });
    }
    void disturbUpstream(std::size_t index)
    {
        const auto habit = static_cast<soak_upstreams::habit>(1 + m_random() % 5);
        note(fmt::format("upstream {}: habit {}", index, static_cast<int>(habit)));
        m_upstreams.setHabit(index, habit);
        later(draw(200, 3'000),
              [this, index] { m_upstreams.setHabit(index, soak_upstreams::habit::sound); });
    }

    void heal()
    {
        m_pending.clear();
        m_upstreams.heal();
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            m_processes.resume(i);
            m_processes.kill(i); // one that is stopping, too
            m_processes.start(i);
        }
        note("all processes start again; no further faults");
    }

    bool waitForService(const soak_callers &callers, const std::string &what)
    {
        const std::uint64_t before = callers.successes();
        try {
            waitUntil(
                what, [&] { return callers.successes() >= before + successesOfRecovery; },
                recoveryLimit);
            return true;
        } catch (const error &failure) {
            m_record.broken(failure.what());
            return false;
        }
    }

    // The newest acknowledged version is read back from every control instance, or none comes, and
    // entry instances serve it.
    void checkRouting()
    {
        const std::uint64_t newest = m_record.newestAcknowledged();
        try {
            for (std::size_t i = 0; i < m_options.controls; ++i)
                waitUntil(
                    fmt::format("{} has version {}", m_processes.at(i).name, newest),
                    [&] { return followReads(m_processes.controlAddress(i)) >= newest; },
                    recoveryLimit);
            for (std::size_t i = m_options.controls; i < m_processes.size(); ++i)
                waitUntil(
                    fmt::format("{} serves version {}", m_processes.at(i).name, newest),
                    [&] {
                        return exchange(m_processes.entryAddress(i),
                                        {.path = fmt::format("/v{}/x", newest), .timeout = 1s})
                                   .status
                            == ok;
                    },
                    recoveryLimit);
        } catch (const error &failure) {
            m_record.broken(failure.what());
        }
    }

    std::uint64_t followReads(std::string address)
    {
        for (int redirects = 0; redirects < 3; ++redirects) {
            const http_response response = exchange(address, {.path = "/v1/config", .timeout = 1s});
            if (response.status == ok) {
                const auto body = nlohmann::json::parse(response.body, nullptr, false);
                return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
            }
            if (response.status != temporaryRedirect)
                return 0;
            const std::string to = response.header("location");
            const auto start = to.find("//") + 2;
            address = to.substr(start, to.find('/', start) - start);
        }
        return 0;
    }

    void checkDrain(const soak_callers &callers)
    {
        m_upstreams.setDraining(0, true);
        note("upstream 0 drains");
        try {
            waitUntil(
                "the draining upstream gets nothing more",
                [&] {
                    const std::size_t before = m_upstreams.arrivals(0);
                    const std::uint64_t successes = callers.successes();
                    waitUntil(
                        "requests are served beside a draining upstream",
                        [&] { return callers.successes() >= successes + successesBesideDrain; },
                        recoveryLimit);
                    return m_upstreams.arrivals(0) == before;
                },
                recoveryLimit);
        } catch (const error &failure) {
            m_record.broken(failure.what());
        }
    }

    void keepLogs()
    {
        const std::filesystem::path folder
            = std::filesystem::path(m_options.logFolder) / fmt::format("seed-{}", m_options.seed);
        std::filesystem::create_directories(folder);
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            std::filesystem::copy_file(m_processes.logFile(i),
                                       folder / (m_processes.at(i).name + ".log"),
                                       std::filesystem::copy_options::overwrite_existing);
        std::string text;
        for (const std::string &event : m_events)
            text += event + "\n";
        writeWholeFile(folder / "events", text);
    }

    const soak_options m_options;
    std::mt19937_64 m_random;
    soak_record m_record;
    soak_processes m_processes;
    soak_upstreams m_upstreams;
    const clock::time_point m_start = clock::now();
    std::multimap<clock::time_point, std::function<void()>> m_pending;
    std::vector<std::string> m_events;
    std::uint64_t m_version = 0;
    bool m_hasWiped = false;
};

} // namespace

soak_result runSoak(const soak_options &options)
{
    return soak(options).run();
}

} // namespace buckthorngrade
