#include "testing/deployment.h"

#include "base/error.h"
#include "testing/wait.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <set>
#include <sstream>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t domainCount = 6;
constexpr std::array<std::string_view, 2> serviceNames = {"lookup", "claim"};
constexpr std::array<std::string_view, 2> profileNames = {"fast", "roomy"};

// "entry-3" becomes 3.
std::size_t numberOf(const std::string &name)
{
    return std::stoul(name.substr(name.rfind('-') + 1));
}

std::string domainName(std::size_t index)
{
    const std::size_t place = index % domainCount;
    return fmt::format("r{}-{}", place % 3 + 1, place < 3 ? "a" : "b");
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    try {
        return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

std::string newRequestId()
{
    static std::atomic<unsigned> counter = 0;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return fmt::format("{}-test{}", now.count(), ++counter);
}

http_request editRequest(const std::string &method, const std::string &path,
                         const std::string &body, const std::string &requestId)
{
    return {.method = method,
            .path = path,
            .headers = {{"Request-Id", requestId.empty() ? newRequestId() : requestId},
                        {"Operator", "test"},
                        {"Reason", "test"}},
            .body = body};
}

// All programs are built into one folder. BG_BINARY_DIR names it, but only for tests.
std::filesystem::path builtProgram(const std::string &name)
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

} // namespace

deployment::deployment(const deployment_options &options)
    : m_options(options)
{
    for (std::size_t i = 1; i <= options.controls; ++i)
        m_controls.push_back(fmt::format("control-{}", i));
    for (std::size_t i = 1; i <= options.entries; ++i)
        m_entries.push_back(fmt::format("entry-{}", i));
    for (const std::string_view service : serviceNames)
        for (std::size_t i = 1; i <= options.upstreamsPerDomain * domainCount; ++i)
            m_upstreams.push_back(fmt::format("{}-{}", service, i));
    reservePorts();
    createLinks();
    for (const auto *names : {&m_controls, &m_entries}) {
        for (const std::string &name : *names) {
            writeWholeFile(m_folder.path() / ("deployment-" + name + ".yaml"),
                           deploymentYaml(name));
            writeWholeFile(settingsFile(name), processYaml(name));
        }
    }
}

void deployment::reservePorts()
{
    for (const auto *names : {&m_controls, &m_entries, &m_upstreams})
        for (const std::string &name : *names)
            m_httpPorts[name] = std::make_unique<free_port>();
    for (const std::string &name : m_controls)
        m_grpcPorts[name] = std::make_unique<free_port>();
}

void deployment::createLinks()
{
    std::uint64_t seed = m_options.seed;
    const auto add = [&](const std::string &from, const std::string &to, const free_port &port) {
        if (from != to)
            m_links[{from, to}]
                = std::make_unique<fault_proxy>("127.0.0.1:0", port.address(), seed++);
    };
    for (const std::string &target : m_controls) {
        if (!m_options.proxyControls)
            break;
        for (const auto *names : {&m_controls, &m_entries})
            for (const std::string &from : *names)
                add(from, target, *m_grpcPorts.at(target));
    }
    for (const std::string &target : m_upstreams) {
        if (!m_options.proxyUpstreams)
            break;
        for (const std::string &from : m_entries)
            add(from, target, *m_httpPorts.at(target));
    }
}

std::string deployment::domainOf(const std::string &name) const
{
    return domainName(numberOf(name) - 1);
}

std::string deployment::addressFor(const std::string &reader, const std::string &target,
                                   const std::string &direct) const
{
    const auto found = m_links.find({reader, target});
    return found == m_links.end() ? direct : found->second->address();
}

std::string deployment::deploymentYaml(const std::string &reader) const
{
    std::string text = "cluster: test\ncontrol_members:\n";
    for (const std::string &name : m_controls)
        text += fmt::format("  - {{id: {}, grpc: '{}', http: '{}'}}\n", numberOf(name),
                            addressFor(reader, name, m_grpcPorts.at(name)->address()),
                            address(name));
    text += "regions:\n";
    for (int region = 1; region <= 3; ++region)
        text += fmt::format("  - {{name: r{0}, failure_domains: [r{0}-a, r{0}-b]}}\n", region);
    text += "links:\n";
    for (const std::string_view between : {"r1, r2", "r1, r3", "r2, r3"})
        text += fmt::format("  - {{between: [{}], rate: {}, delay: 55ms}}\n", between,
                            m_options.linkRate);
    text += "client_blocks:\n  - {block: 127.0.0.0/8, region: r1}\n";
    for (int region = 1; region <= 3; ++region)
        text += fmt::format("  - {{block: 127.0.{0}.0/24, region: r{0}, site: s{0}}}\n", region);
    text += "services:\n";
    for (std::size_t i = 0; i < serviceNames.size(); ++i) {
        text += fmt::format("  - name: {}\n    profile: {}\n    request_deadline: {}ms\n"
                            "    upstreams:\n",
                            serviceNames[i], profileNames[i], m_options.requestDeadline.count());
        for (const std::string &name : m_upstreams)
            if (name.starts_with(serviceNames[i]))
                text += fmt::format("      - {{name: {}, address: '{}', failure_domain: {}, "
                                    "slots: {}, connections: {}, load_path: /load}}\n",
                                    name, addressFor(reader, name, address(name)), domainOf(name),
                                    m_options.slots, m_options.connections);
    }
    return text;
}

std::string deployment::processYaml(const std::string &name) const
{
    std::string text = fmt::format("deployment: deployment-{0}.yaml\ninstance: {0}\n"
                                   "failure_domain: {1}\nlog: {{level: debug}}\n",
                                   name, domainOf(name));
    if (name.starts_with("control-"))
        text += fmt::format("control: {{id: {}, data_folder: '{}'}}\n", numberOf(name),
                            (m_folder.path() / ("data-" + name)).string());
    else
        text += fmt::format("entry: {{http: '{}', drain_limit: {}ms}}\n", address(name),
                            m_options.drainLimit.count());
    return text;
}

std::string deployment::profileYaml(const std::string &name) const
{
    const int latency = name == profileNames[0] ? 80 : 20;
    return fmt::format("name: {}\nweights: {{latency: {}%, headroom: {}%}}\n{}", name, latency,
                       100 - latency, m_options.extraProfileKeys);
}

void deployment::startAll()
{
    for (const auto *names : {&m_upstreams, &m_controls, &m_entries})
        for (const std::string &name : *names)
            start(name);
    waitForLeader();
    for (const std::string_view name : profileNames) {
        const http_response response
            = putProfile(std::string(name), 0, profileYaml(std::string(name)));
        if (response.status != statusOk)
            throw error(fmt::format("profile {} was not accepted: {} {}", name, response.status,
                                    response.body));
    }
    const auto allLive = [this] {
        const auto status = leaderStatus();
        const auto instances = status ? status->getArray("instances") : nullptr;
        std::size_t live = 0;
        for (std::size_t i = 0; instances && i < instances->size(); ++i)
            live += instances->getObject(static_cast<unsigned>(i))->getValue<std::string>("state")
                == "live";
        return live == m_entries.size();
    };
    waitUntil("all entry instances are live", allLive);
    for (const std::string &name : m_entries)
        waitReady(name);
}

void deployment::start(const std::string &name)
{
    const std::filesystem::path errors = m_folder.path() / (name + ".log");
    std::string program = "buckthorngrade";
    std::vector<std::string> arguments;
    if (std::ranges::count(m_upstreams, name) > 0) {
        program = "stand_in_upstream";
        arguments = {"--address=" + address(name),
                     "--name=" + name,
                     fmt::format("--slots={}", m_options.slots),
                     fmt::format("--connections={}", m_options.connections),
                     fmt::format("--service_time={}ms", m_options.serviceTime.count()),
                     "--record=" + (m_folder.path() / (name + ".record")).string()};
    } else {
        arguments = {name.substr(0, name.find('-')), "--config=" + settingsFile(name).string()};
        const bool isControl = name.starts_with("control-");
        if (isControl && !std::filesystem::exists(m_folder.path() / ("data-" + name)))
            arguments.emplace_back("--initialize");
    }
    m_processes[name].reset();
    m_processes[name] = std::make_unique<process>(builtProgram(program), arguments, errors);
    waitUntil(name + " answers /healthz", [&] {
        if (!m_processes[name]->isRunning())
            throw error(name + " ended:\n" + log(name));
        return exchange(address(name), {.path = "/healthz"}).status == statusOk;
    });
}

int deployment::stop(const std::string &name)
{
    process *running = find(name);
    if (!running)
        throw error(name + " is not started");
    running->signal(SIGTERM);
    const auto code = running->waitExit(m_options.drainLimit + defaultWaitLimit);
    if (!code)
        throw error(name + " did not stop:\n" + log(name));
    m_processes.erase(name);
    return *code;
}

void deployment::kill(const std::string &name)
{
    m_processes.erase(name);
}

void deployment::pause(const std::string &name)
{
    if (process *running = find(name))
        running->signal(SIGSTOP);
}

void deployment::resume(const std::string &name)
{
    if (process *running = find(name))
        running->signal(SIGCONT);
}

process *deployment::find(const std::string &name)
{
    const auto found = m_processes.find(name);
    return found == m_processes.end() ? nullptr : found->second.get();
}

bool deployment::isRunning(const std::string &name) const
{
    return m_processes.contains(name);
}

std::string deployment::address(const std::string &name) const
{
    return m_httpPorts.at(name)->address();
}

std::vector<std::string> deployment::controlAddresses() const
{
    std::vector<std::string> addresses;
    std::ranges::transform(m_controls, std::back_inserter(addresses),
                           [this](const std::string &name) { return address(name); });
    return addresses;
}

std::filesystem::path deployment::settingsFile(const std::string &name) const
{
    return m_folder.path() / (name + ".yaml");
}

std::string deployment::log(const std::string &name) const
{
    return readWholeFile(m_folder.path() / (name + ".log"));
}

fault_proxy &deployment::link(const std::string &from, const std::string &to)
{
    const auto found = m_links.find({from, to});
    if (found == m_links.end())
        throw error("there is no proxy from " + from + " to " + to);
    return *found->second;
}

void deployment::isolate(const std::vector<std::string> &group)
{
    const std::set<std::string> inside(group.begin(), group.end());
    for (const auto &[ends, proxy] : m_links)
        if (inside.contains(ends.first) != inside.contains(ends.second))
            proxy->partition(true, true);
}

void deployment::healLinks()
{
    for (const auto &[ends, proxy] : m_links)
        proxy->heal();
}

http_response deployment::lookup(const std::string &entry, const std::string &service,
                                 const std::string &client) const
{
    return exchange(
        address(entry),
        {.path = "/v1/lookup?service=" + service + (client.empty() ? "" : "&client=" + client)});
}

http_response deployment::request(const std::string &entry, const std::string &service,
                                  http_request content) const
{
    content.path = "/svc/" + service + content.path;
    return exchange(address(entry), content);
}

http_response deployment::upstreamControl(const std::string &upstream, const std::string &path,
                                          const std::string &json) const
{
    return exchange(address(upstream), {.method = "POST", .path = path, .body = json});
}

http_response deployment::admin(http_request content, std::chrono::milliseconds limit) const
{
    constexpr int statusMisdirected = 421;
    constexpr int statusUnavailable = 503;
    constexpr int statusUnknown = 504;
    content.timeout = std::chrono::seconds(5);
    http_response last;
    const auto isFinal = [&last] {
        return last.status != 0 && last.status != statusMisdirected
            && last.status != statusUnavailable && last.status != statusUnknown;
    };
    const auto tryAll = [&] {
        for (const std::string &name : m_controls) {
            if (!isRunning(name))
                continue;
            last = exchange(address(name), content);
            if (last.status == statusMisdirected && !last.header("leader").empty())
                last = exchange(last.header("leader"), content);
            if (isFinal())
                return true;
        }
        return false;
    };
    try {
        waitUntil("control answers", tryAll, limit);
    } catch (const error &) { // the last answer says why
    }
    return last;
}

http_response deployment::putProfile(const std::string &name, std::uint64_t baseVersion,
                                     const std::string &yaml, const std::string &requestId) const
{
    return admin(editRequest(
        "PUT", fmt::format("/v1/profiles/{}?base_version={}", name, baseVersion), yaml, requestId));
}

http_response deployment::announceDrain(const std::string &kind, const std::string &target) const
{
    return admin(editRequest("POST", "/v1/drains",
                             fmt::format(R"({{"kind":"{}","target":"{}"}})", kind, target), {}));
}

Poco::JSON::Object::Ptr deployment::leaderStatus() const
{
    for (const std::string &name : m_controls) {
        if (!isRunning(name))
            continue;
        auto status = parseObject(
            exchange(address(name), {.path = "/v1/status", .timeout = std::chrono::seconds(5)})
                .body);
        const auto replica = status ? status->getObject("replica") : nullptr;
        if (replica && replica->optValue("is_leader", false)
            && replica->optValue("connected", false))
            return status;
    }
    return nullptr;
}

std::string deployment::leader() const
{
    const auto status = leaderStatus();
    return status
        ? fmt::format("control-{}", status->getObject("replica")->getValue<std::size_t>("id"))
        : std::string();
}

void deployment::waitForLeader() const
{
    waitUntil("there is a leader", [this] { return !leaderStatus().isNull(); });
}

void deployment::waitReady(const std::string &name) const
{
    waitUntil(name + " is ready", [&] {
        return exchange(address(name), {.path = "/readyz"}).status == statusOk
            && lookup(name, std::string(serviceNames.front())).status == statusOk;
    });
}

void deployment::waitForSlots(const std::string &name) const
{
    const auto hasSlots = [](const Poco::JSON::Object &service) {
        const auto upstreams = service.getArray("upstreams");
        for (std::size_t i = 0; upstreams && i < upstreams->size(); ++i)
            if (upstreams->getObject(static_cast<unsigned>(i))->optValue("slots", 0) > 0)
                return true;
        return false;
    };
    waitUntil(name + " has slots of every service", [&] {
        const auto status = parseObject(exchange(address(name), {.path = "/v1/status"}).body);
        const auto services = status ? status->getArray("services") : nullptr;
        for (std::size_t i = 0; services && i < services->size(); ++i)
            if (!hasSlots(*services->getObject(static_cast<unsigned>(i))))
                return false;
        return services && !services->empty();
    });
}

void deployment::waitInForce(std::uint64_t revision) const
{
    const auto isInForce = [&] {
        const auto status = leaderStatus();
        const auto instances = status ? status->getArray("instances") : nullptr;
        return instances && !instances->empty()
            && status->optValue<std::uint64_t>("in_force_revision", 0) >= revision;
    };
    waitUntil(fmt::format("revision {} is in force", revision), isInForce);
}

std::vector<Poco::JSON::Object::Ptr> deployment::records(const std::string &upstream) const
{
    std::vector<Poco::JSON::Object::Ptr> result;
    for (const std::string &name : m_upstreams) {
        if (!upstream.empty() && name != upstream)
            continue;
        std::istringstream lines(readWholeFile(m_folder.path() / (name + ".record")));
        for (std::string line; std::getline(lines, line);)
            if (const auto object = parseObject(line))
                result.push_back(object);
    }
    return result;
}

Poco::JSON::Object::Ptr deployment::upstreamStatus(const std::string &upstream) const
{
    return parseObject(exchange(address(upstream), {.path = "/_status"}).body);
}

} // namespace buckthorngrade
