#include "model/settings.h"

#include "base/error.h"
#include "base/yaml_reader.h"

#include <Poco/Net/IPAddress.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace buckthorngrade {

namespace {

using namespace std::chrono_literals;

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input)
        throw settings_error(fmt::format("{}: can't be read", file.string()));
    return text.str();
}

// Reports a fault when a value that must be unique occurs twice.
class uniqueness_check
{
public:
    explicit uniqueness_check(std::string what)
        : m_description(std::move(what))
    { }
    void check(yaml_map &map, const std::string &key, const std::string &value)
    {
        if (value.empty())
            return;
        const auto [other, inserted] = m_lineByValue.emplace(value, map.lineOf(key));
        if (!inserted)
            map.fault(key,
                      fmt::format("{} '{}' is already used in line {}", m_description, value,
                                  other->second));
    }
    bool contains(const std::string &value) const { return m_lineByValue.contains(value); }

private:
    std::string m_description;
    std::map<std::string, std::size_t> m_lineByValue;
};

bool isCidr(const std::string &text)
{
    const auto slash = text.find('/');
    Poco::Net::IPAddress address;
    if (slash == std::string::npos
        || !Poco::Net::IPAddress::tryParse(text.substr(0, slash), address))
        return false;
    const std::string digits = text.substr(slash + 1);
    const bool numeric = !digits.empty() && digits.size() <= 3
        && std::ranges::all_of(digits, [](char c) { return c >= '0' && c <= '9'; });
    return numeric
        && std::stoul(digits) <= (address.family() == Poco::Net::IPAddress::IPv4 ? 32U : 128U);
}

class deployment_reader
{
public:
    explicit deployment_reader(settings &target)
        : m_settings(target)
    { }

    void read(yaml_map &map)
    {
        m_settings.cluster = map.name("cluster");
        map.list("control_members", [this](yaml_map &item) { readMember(item); });
        if (m_settings.members.empty())
            map.fault("control_members", "must name at least one control instance");
        map.list("regions", [this](yaml_map &item) { readRegion(item); });
        if (m_settings.deployment.regions.empty())
            map.fault("regions", "must name at least one region");
        map.list("links", [this](yaml_map &item) { readLink(item); });
        map.list("client_blocks", [this](yaml_map &item) { readBlock(item); });
        map.list("services", [this](yaml_map &item) { readService(item); });
    }

private:
    void readMember(yaml_map &map)
    {
        control_member member;
        member.id = static_cast<std::uint32_t>(map.integer("id", 1, 255));
        m_memberIds.check(map, "id", std::to_string(member.id));
        member.grpcAddress = map.address("grpc");
        m_addresses.check(map, "grpc", member.grpcAddress);
        member.httpAddress = map.address("http");
        m_addresses.check(map, "http", member.httpAddress);
        m_settings.members.push_back(member);
    }

    void readRegion(yaml_map &map)
    {
        region_spec region;
        region.name = map.name("name");
        m_regions.check(map, "name", region.name);
        region.failureDomains = map.names("failure_domains");
        for (const std::string &domain : region.failureDomains)
            m_failureDomains.check(map, "failure_domains", domain);
        region.entryInstances = static_cast<std::uint32_t>(
            map.integer("entry_instances", 1, 10'000, region.entryInstances));
        m_settings.deployment.regions.push_back(region);
    }

    void readLink(yaml_map &map)
    {
        const auto between = map.names("between");
        link_spec link;
        link.bytesPerSecond = map.bitRate("rate");
        link.delay = map.duration("delay", 0ms, 10s);
        if (between.size() != 2) {
            map.fault("between", "must name two regions");
            return;
        }
        for (const std::string &region : between)
            if (!m_regions.contains(region))
                map.fault("between", fmt::format("unknown region '{}'", region));
        auto pair = between;
        std::ranges::sort(pair);
        m_links.check(map, "between", pair[0] + " and " + pair[1]);
        link.from = between[0];
        link.to = between[1];
        m_settings.deployment.links.push_back(link);
        std::swap(link.from, link.to);
        m_settings.deployment.links.push_back(link);
    }

    void readBlock(yaml_map &map)
    {
        client_block block;
        block.block = map.text("block");
        if (!block.block.empty() && !isCidr(block.block))
            map.fault("block", "must be a block of addresses such as 192.0.2.0/24");
        m_blocks.check(map, "block", block.block);
        block.region = map.name("region");
        if (!block.region.empty() && !m_regions.contains(block.region))
            map.fault("region", fmt::format("unknown region '{}'", block.region));
        block.site = map.textOr("site", "");
        m_settings.deployment.clientBlocks.push_back(block);
    }

    void readService(yaml_map &map)
    {
        service_spec service;
        service.name = map.name("name");
        m_services.check(map, "name", service.name);
        service.profile = map.name("profile");
        service.requestDeadline = map.duration("request_deadline", 10ms, 1h, 5s);
        uniqueness_check upstreams("upstream");
        map.list("upstreams", [&](yaml_map &item) {
            service.upstreams.push_back(readUpstream(item));
            upstreams.check(item, "name", service.upstreams.back().name);
        });
        if (service.upstreams.empty())
            map.fault("upstreams", "must name at least one upstream");
        m_settings.deployment.services.push_back(service);
    }

    upstream_spec readUpstream(yaml_map &map)
    {
        upstream_spec upstream;
        upstream.name = map.name("name");
        upstream.address = map.address("address");
        m_addresses.check(map, "address", upstream.address);
        upstream.failureDomain = map.name("failure_domain");
        if (!upstream.failureDomain.empty() && !m_failureDomains.contains(upstream.failureDomain))
            map.fault("failure_domain",
                      fmt::format("unknown failure domain '{}'", upstream.failureDomain));
        upstream.slots = static_cast<std::uint32_t>(map.integer("slots", 1, 10'000));
        upstream.connections = static_cast<std::uint32_t>(map.integer("connections", 1, 100'000));
        upstream.loadPath = map.textOr("load_path", "");
        return upstream;
    }

    settings &m_settings;
    uniqueness_check m_memberIds{"id"};
    uniqueness_check m_addresses{"address"};
    uniqueness_check m_regions{"region"};
    uniqueness_check m_failureDomains{"failure domain"};
    uniqueness_check m_links{"link between"};
    uniqueness_check m_blocks{"block"};
    uniqueness_check m_services{"service"};
};

void readControl(yaml_map &map, settings &target)
{
    target.hasControl = true;
    target.control.id = static_cast<std::uint32_t>(map.integer("id", 1, 255));
    if (!target.findMember(target.control.id))
        map.fault("id", "is not one of control_members");
    target.control.dataFolder = map.text("data_folder");
    target.control.platformList = map.textOr("platform_list", "");
}

void readEntry(yaml_map &map, settings &target)
{
    const entry_settings defaults;
    target.hasEntry = true;
    target.entry.httpAddress = map.address("http");
    target.entry.publicAddress
        = map.has("public_address") ? map.address("public_address") : target.entry.httpAddress;
    target.entry.maxConnections = static_cast<std::uint32_t>(
        map.integer("max_connections", 1, 100'000, defaults.maxConnections));
    target.entry.idleTimeout = map.duration("idle_timeout", 100ms, 1h, defaults.idleTimeout);
    target.entry.headTimeout = map.duration("head_timeout", 100ms, 10min, defaults.headTimeout);
    target.entry.drainLimit = map.duration("drain_limit", 0ms, 1h, defaults.drainLimit);
    for (const control_member &member : target.members)
        if (target.entry.httpAddress == member.grpcAddress
            || target.entry.httpAddress == member.httpAddress)
            map.fault("http",
                      fmt::format("address is already used by control instance {}", member.id));
}

void readProcess(yaml_map &map, settings &target)
{
    map.textOr("deployment", "");
    target.instance = map.name("instance");
    target.failureDomain = map.name("failure_domain");
    if (!target.failureDomain.empty() && target.region().empty())
        map.fault("failure_domain",
                  fmt::format("unknown failure domain '{}'", target.failureDomain));
    map.map("log", false, [&](yaml_map &log) {
        try {
            target.logLevel = logLevelFromString(log.textOr("level", "info"));
        } catch (const settings_error &failure) {
            log.fault("level", failure.what());
        }
    });
    map.map("trace", false, [&](yaml_map &trace) {
        target.traceFile = trace.textOr("file", "");
        target.traceSample = trace.percent("sample", 0, 1, 0.1);
    });
    map.map("control", false, [&](yaml_map &control) { readControl(control, target); });
    map.map("entry", false, [&](yaml_map &entry) { readEntry(entry, target); });
    if (!target.hasControl && !target.hasEntry)
        map.fault("control", "is missing: a process needs a control or an entry section");
}

std::string prefixLines(const std::filesystem::path &file, const std::string &faults)
{
    std::istringstream lines(faults);
    std::string text;
    for (std::string line; std::getline(lines, line);)
        text += fmt::format("{}{}: {}", text.empty() ? "" : "\n", file.string(), line);
    return text;
}

// Runs `read` on the document in `file` and returns the faults, each line prefixed with the file
// name.
std::string readDocument(const std::filesystem::path &file,
                         const std::function<void(yaml_map &)> &read)
{
    std::vector<yaml_fault> faults;
    try {
        yaml_map map(loadYaml(readFile(file)), "", faults);
        read(map);
        map.finish();
    } catch (const settings_error &failure) {
        return prefixLines(file, failure.what());
    }
    return prefixLines(file, formatFaults(faults));
}

} // namespace

const control_member *settings::findMember(std::uint32_t id) const
{
    const auto found = std::ranges::find(members, id, &control_member::id);
    return found == members.end() ? nullptr : &*found;
}

settings loadSettings(const std::filesystem::path &file)
{
    settings result;
    std::string deploymentFaults;
    const std::string faults = readDocument(file, [&](yaml_map &map) {
        const std::filesystem::path shared = file.parent_path() / map.text("deployment");
        deployment_reader reader(result);
        deploymentFaults = readDocument(shared, [&](yaml_map &inner) { reader.read(inner); });
        readProcess(map, result);
    });
    if (!faults.empty() || !deploymentFaults.empty())
        throw settings_error(deploymentFaults
                             + (faults.empty() || deploymentFaults.empty() ? "" : "\n") + faults);
    return result;
}

} // namespace buckthorngrade
