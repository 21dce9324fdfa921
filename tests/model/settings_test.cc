#include "base/error.h"
#include "model/drain.h"
#include "model/profile.h"
#include "model/settings.h"
#include "testing/process.h"
#include "testing/temp_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Line numbers in the expectations below refer to these documents.
const std::string deploymentYaml = R"(cluster: test
control_members:
  - id: 1
    grpc: 127.0.0.1:7001
    http: 127.0.0.1:7002
  - id: 2
    grpc: 127.0.0.1:7003
    http: 127.0.0.1:7004
regions:
  - name: north
    failure_domains: [north-a, north-b]
  - name: south
    failure_domains: [south-a]
links:
  - between: [north, south]
    rate: 300Mbit/s
    delay: 55ms
client_blocks:
  - block: 192.0.2.0/24
    region: north
    site: s1
services:
  - name: stock
    profile: headroom
    request_deadline: 5s
    upstreams:
      - name: stock-1
        address: 127.0.0.1:7101
        failure_domain: north-a
        slots: 7
        connections: 350
        load_path: /load
)";

const std::string processYaml = R"(deployment: deployment.yaml
instance: both-1
failure_domain: north-b
log:
  level: debug
trace:
  file: trace.jsonl
  sample: 25%
control:
  id: 2
  data_folder: data
  platform_list: list
entry:
  http: 127.0.0.1:7201
  public_address: 192.0.2.1:80
  max_connections: 100
  idle_timeout: 10s
  head_timeout: 2s
  drain_limit: 30s
)";

const std::string fullProfileYaml = R"(name: latency
weights:
  latency: 80%
  headroom: 20%
lookup_lifetime: 2s
shift_cap: 5%
shift_interval: 20s
region_limit: 80%
reserved_share: 30%
retry_budget: 20%
max_retries: 1
queue_length: 8
queue_timeout: 100ms
warmup: 10s
latency_bound: 250ms
shed_bound: 1%
)";

// A change to a valid document and the only fault that it must cause.
struct rule_case
{
    std::string from;
    std::string to;
    std::string fault; // "line N: key: reason", or a prefix of it
    bool allowsFurtherFaults = false; // allows faults for references to names that were not read
};

// Applies each case to `good` and checks that `read` throws the expected fault after `prefix`.
void checkRules(const std::string &good, const std::vector<rule_case> &cases,
                const std::string &prefix, const std::function<void(const std::string &)> &read)
{
    std::string wrong;
    for (const rule_case &each : cases) {
        std::string text = good;
        const auto position = text.find(each.from);
        CPPUNIT_ASSERT_MESSAGE(each.from, position != std::string::npos);
        text.replace(position, each.from.size(), each.to);
        std::string seen = "no fault";
        try {
            read(text);
        } catch (const settings_error &failure) {
            seen = failure.what();
        }
        if (!seen.starts_with(prefix + each.fault)
            || (seen.find('\n') != std::string::npos && !each.allowsFurtherFaults))
            wrong += fmt::format("'{}'\n  expected: {}{}\n  seen: {}\n", each.to, prefix,
                                 each.fault, seen);
    }
    CPPUNIT_ASSERT_MESSAGE(wrong, wrong.empty());
}

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(readsEveryKey);
    CPPUNIT_TEST(deploymentRulesNameLineAndKey);
    CPPUNIT_TEST(processRulesNameLineAndKey);
    CPPUNIT_TEST(profileRulesNameLineAndKey);
    CPPUNIT_TEST(reportsFaultsOfBothFiles);
    CPPUNIT_TEST(profilesRoundTripThroughYaml);
    CPPUNIT_TEST(drainTargetsConvertToStringAndBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that is accepted but not applied.
    void readsEveryKey()
    {
        const settings read = load(deploymentYaml, processYaml);
        CPPUNIT_ASSERT_EQUAL(std::string("test"), read.cluster);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), read.region());
        CPPUNIT_ASSERT(read.logLevel == log_level::debug && read.traceSample == 0.25);
        CPPUNIT_ASSERT_EQUAL(std::string("trace.jsonl"), read.traceFile.string());
        CPPUNIT_ASSERT(read.hasControl && read.hasEntry && read.control.id == 2);
        CPPUNIT_ASSERT_EQUAL(std::string("data"), read.control.dataFolder.string());
        CPPUNIT_ASSERT_EQUAL(std::string("list"), read.control.platformList.string());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7004"), read.findMember(2)->httpAddress);
        CPPUNIT_ASSERT_EQUAL(std::string("192.0.2.1:80"), read.entry.publicAddress);
        CPPUNIT_ASSERT(read.entry.maxConnections == 100 && read.entry.idleTimeout == 10s
                       && read.entry.headTimeout == 2s && read.entry.drainLimit == 30s);
        const topology &deployment = read.deployment;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), deployment.links.size());
        const link_spec *back = deployment.findLink("south", "north");
        CPPUNIT_ASSERT(back && back->bytesPerSecond == 37'500'000 && back->delay == 55ms);
        const service_spec *service = deployment.findService("stock");
        CPPUNIT_ASSERT(service && service->profile == "headroom" && service->requestDeadline == 5s);
        const upstream_spec &upstream = service->upstreams.at(0);
        CPPUNIT_ASSERT(upstream.slots == 7 && upstream.connections == 350
                       && upstream.loadPath == "/load" && upstream.failureDomain == "north-a");
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), deployment.clientBlocks.at(0).site);
    }

    void deploymentRulesNameLineAndKey()
    {
        const std::vector<rule_case> cases = {
            {"cluster: test", "cluster: a b", "line 1: cluster: must be 1 to 64 letters"},
            {"cluster: test", "cluster: test\nclusters: x", "line 2: clusters: unknown key"},
            {"id: 1", "id: 0",
             "line 3: control_members[0].id: must be a whole number from 1 to 255"},
            {"regions:", "  - {id: 1, grpc: '127.0.0.1:9', http: '127.0.0.1:8'}\nregions:",
             "line 9: control_members[2].id: id '1' is already used in line 3"},
            {"grpc: 127.0.0.1:7001", "grpc: host:7001",
             "line 4: control_members[0].grpc: must be IP:port"},
            {"grpc: 127.0.0.1:7003", "grpc: 127.0.0.1:7002",
             "line 7: control_members[1].grpc: address '127.0.0.1:7002' is already used in line 5"},
            {"http: 127.0.0.1:7002", "http: 127.0.0.1:0",
             "line 5: control_members[0].http: must be IP:port"},
            {"http: 127.0.0.1:7004", "http: 127.0.0.1:7001",
             "line 8: control_members[1].http: address '127.0.0.1:7001' is already used in line 4"},
            {"    http: 127.0.0.1:7004\n", "", "line 6: control_members[1].http: is missing"},
            {"links:", "  - {name: north, failure_domains: [x]}\nlinks:",
             "line 14: regions[2].name: region 'north' is already used in line 10"},
            {"[south-a]", "south-a",
             "line 13: regions[1].failure_domains: must be a list of names"},
            {"[south-a]", "['a b']",
             "line 13: regions[1].failure_domains: must contain only names"},
            {"[south-a]", "[south-a, south-a]",
             "line 13: regions[1].failure_domains: names 'south-a' twice"},
            {"[south-a]", "[south-a]\n    entry_instances: 0",
             "line 14: regions[1].entry_instances: must be a whole number from 1 to 10000"},
            {"[south-a]", "[north-b]",
             "line 13: regions[1].failure_domains: failure domain 'north-b' is already used in "
             "line 11"},
            {"[north, south]", "[north]", "line 15: links[0].between: must name two regions"},
            {"[north, south]", "[north, west]", "line 15: links[0].between: unknown region 'west'"},
            {"client_blocks:",
             "  - between: [south, north]\n    rate: 1Mbit/s\n    delay: 0ms\nclient_blocks:",
             "line 18: links[1].between: link between 'north and south' is already used in line "
             "15"},
            {"rate: 300Mbit/s", "rate: 300",
             "line 16: links[0].rate: must be a rate with its unit"},
            {"rate: 300Mbit/s", "rate: 0Mbit/s",
             "line 16: links[0].rate: must be a rate with its unit"},
            {"    rate: 300Mbit/s\n", "", "line 15: links[0].rate: is missing"},
            {"delay: 55ms", "delay: 55", "line 17: links[0].delay: must be a time with its unit"},
            {"delay: 55ms", "delay: 11s", "line 17: links[0].delay: must be from 0ms to 10000ms"},
            {"192.0.2.0/24", "192.0.2.0/33", "line 19: client_blocks[0].block: must be a block"},
            {"192.0.2.0/24", "192.0.2.0", "line 19: client_blocks[0].block: must be a block"},
            {"- block: 192.0.2.0/24\n    region: north", "- region: north",
             "line 19: client_blocks[0].block: is missing"},
            {"region: north\n", "region: west\n",
             "line 20: client_blocks[0].region: unknown region 'west'"},
            {"services:", "  - block: 192.0.2.0/24\n    region: south\nservices:",
             "line 22: client_blocks[1].block: block '192.0.2.0/24' is already used in line 19"},
            {"name: stock\n", "name: ''\n", "line 23: services[0].name: must be 1 to 64 letters"},
            {"services:",
             "services:\n  - name: stock\n    profile: p\n    upstreams:\n      - {name: u, "
             "address: "
             "'127.0.0.1:9', failure_domain: south-a, slots: 1, connections: 1}",
             "line 27: services[1].name: service 'stock' is already used in line 23"},
            {"    profile: headroom\n", "", "line 23: services[0].profile: is missing"},
            {"request_deadline: 5s", "request_deadline: 5ms",
             "line 25: services[0].request_deadline: must be from 10ms to 3600000ms"},
            {deploymentYaml.substr(deploymentYaml.find("    upstreams:")), "",
             "line 23: services[0].upstreams: must name at least one upstream"},
            {"name: stock-1", "name: stock 1",
             "line 27: services[0].upstreams[0].name: must be 1 to 64"},
            {"        load_path: /load\n",
             "      - {name: stock-1, address: '127.0.0.1:9', failure_domain: south-a, slots: 1, "
             "connections: 1}\n",
             "line 32: services[0].upstreams[1].name: upstream 'stock-1' is already used in line "
             "27"},
            {"127.0.0.1:7101", "127.0.0.1:7003",
             "line 28: services[0].upstreams[0].address: address '127.0.0.1:7003' is already used "
             "in line 7"},
            {"127.0.0.1:7101", "'[::1]'",
             "line 28: services[0].upstreams[0].address: must be IP:port"},
            {"failure_domain: north-a", "failure_domain: west-a",
             "line 29: services[0].upstreams[0].failure_domain: unknown failure domain 'west-a'"},
            {"slots: 7", "slots: 0",
             "line 30: services[0].upstreams[0].slots: must be a whole number from 1 to 10000"},
            {"slots: 7", "slots: 7.5",
             "line 30: services[0].upstreams[0].slots: must be a whole number"},
            {"connections: 350", "connections: -1",
             "line 31: services[0].upstreams[0].connections: must be a whole number from 1 to "
             "100000"},
            {"load_path: /load", "load_path: [a]",
             "line 32: services[0].upstreams[0].load_path: must be a single value"},
            {"load_path: /load", "load: /load",
             "line 32: services[0].upstreams[0].load: unknown key"},
            {"load_path: /load", "slots: 8",
             "line 32: services[0].upstreams[0].slots: the key is given twice"},
            {"cluster: test", "cluster: &x test", "line 1: anchors are not allowed", true},
            {"cluster: test", "cluster: [", "line 3: ", true},
        };
        checkRules(deploymentYaml, cases, (m_folder.path() / "deployment.yaml: ").string(),
                   [this](const std::string &text) { load(text, processYaml); });
    }

    void processRulesNameLineAndKey()
    {
        const std::vector<rule_case> cases = {
            {"instance: both-1\n", "", "line 1: instance: is missing"},
            {"failure_domain: north-b", "failure_domain: west",
             "line 3: failure_domain: unknown failure domain 'west'"},
            {"level: debug", "level: loud", "line 5: log.level: unknown log level 'loud'"},
            {"level: debug", "levels: debug", "line 5: log.levels: unknown key"},
            {"log:\n  level: debug", "log: debug", "line 4: log: must be a map of keys to values"},
            {"sample: 25%", "sample: 0.25",
             "line 8: trace.sample: must be a percentage from 0% to 100%"},
            {"sample: 25%", "sample: 101%", "line 8: trace.sample: must be a percentage"},
            {"id: 2", "id: 3", "line 10: control.id: is not one of control_members"},
            {"data_folder: data", "data_folder: ''",
             "line 11: control.data_folder: must not be empty"},
            {"http: 127.0.0.1:7201", "http: 7201", "line 14: entry.http: must be IP:port"},
            {"http: 127.0.0.1:7201", "http: 127.0.0.1:7001",
             "line 14: entry.http: address is already used by control instance 1"},
            {"public_address: 192.0.2.1:80", "public_address: example:80",
             "line 15: entry.public_address: must be IP:port"},
            {"max_connections: 100", "max_connections: 0",
             "line 16: entry.max_connections: must be a whole number"},
            {"idle_timeout: 10s", "idle_timeout: 10",
             "line 17: entry.idle_timeout: must be a time with its unit"},
            {"head_timeout: 2s", "head_timeout: 1h",
             "line 18: entry.head_timeout: must be from 100ms to 600000ms"},
            {"drain_limit: 30s", "drain_limit: 2h",
             "line 19: entry.drain_limit: must be from 0ms to 3600000ms"},
            {processYaml.substr(processYaml.find("control:")), "",
             "line 1: control: is missing: a process needs a control or an entry section"},
        };
        checkRules(processYaml, cases, (m_folder.path() / "process.yaml: ").string(),
                   [this](const std::string &text) { load(deploymentYaml, text); });
    }

    void profileRulesNameLineAndKey()
    {
        const std::vector<rule_case> cases = {
            {"name: latency", "name: ''", "line 1: name: must be 1 to 64 letters"},
            {"  latency: 80%\n", "", "line 3: weights.latency: is missing"},
            {"latency: 80%", "latency: 0.8",
             "line 3: weights.latency: must be a percentage from 0% to 100%"},
            {"headroom: 20%", "headroom: 200%", "line 4: weights.headroom: must be a percentage"},
            {"latency: 80%\n  headroom: 20%", "latency: 0%\n  headroom: 0%",
             "line 3: weights.latency: at least one weight must be above 0%"},
            {"lookup_lifetime: 2s", "lookup_lifetime: 4s",
             "line 5: lookup_lifetime: must be from 100ms to 3000ms"},
            {"shift_cap: 5%", "shift_cap: 0%",
             "line 6: shift_cap: must be a percentage from 1% to 100%"},
            {"shift_interval: 20s", "shift_interval: 20",
             "line 7: shift_interval: must be a time with its unit"},
            {"region_limit: 80%", "region_limit: 101%",
             "line 8: region_limit: must be a percentage"},
            {"reserved_share: 30%", "reserved_share: -1%",
             "line 9: reserved_share: must be a percentage"},
            {"retry_budget: 20%", "retry_budget: 101%",
             "line 10: retry_budget: must be a percentage"},
            {"max_retries: 1", "max_retries: 6",
             "line 11: max_retries: must be a whole number from 0 to 5"},
            {"queue_length: 8", "queue_length: 4097",
             "line 12: queue_length: must be a whole number from 0 to 4096"},
            {"queue_timeout: 100ms", "queue_timeout: 11s",
             "line 13: queue_timeout: must be from 0ms to 10000ms"},
            {"warmup: 10s", "warmup: 2h", "line 14: warmup: must be from 0ms to 3600000ms"},
            {"latency_bound: 250ms", "latency_bound: 0ms",
             "line 15: latency_bound: must be from 1ms to 60000ms"},
            {"shed_bound: 1%", "shed_bound: 1", "line 16: shed_bound: must be a percentage"},
            {"shed_bound: 1%", "shed: 1%", "line 16: shed: unknown key"},
            {"shed_bound: 1%", "warmup: 1s", "line 16: warmup: the key is given twice"},
        };
        checkRules(fullProfileYaml, cases, "", [](const std::string &text) { parseProfile(text); });
        CPPUNIT_ASSERT_THROW(parseProfile(std::string(70'000, '#')), settings_error);
    }

    // Guards against reporting only the first fault or the faults of only one file, which would
    // make users rerun the check after each correction.
    void reportsFaultsOfBothFiles()
    {
        try {
            load("cluster: x\nregions: 5\n",
                 "deployment: deployment.yaml\ninstance: i\n"
                 "failure_domain: north-b\nentry:\n  http: x\n");
            CPPUNIT_FAIL("no fault");
        } catch (const settings_error &failure) {
            const std::string deployment = (m_folder.path() / "deployment.yaml").string();
            const std::string process = (m_folder.path() / "process.yaml").string();
            CPPUNIT_ASSERT_EQUAL(
                deployment + ": line 1: control_members: must name at least one control instance\n"
                    + deployment + ": line 2: regions: must be a list\n" + deployment
                    + ": line 2: regions: must name at least one region\n" + process
                    + ": line 3: failure_domain: unknown failure domain 'north-b'\n" + process
                    + ": line 5: entry.http: must be IP:port with a port of 1 to 65535, for "
                      "example "
                      "192.0.2.1:8080",
                std::string(failure.what()));
        }
        CPPUNIT_ASSERT_THROW(loadSettings(m_folder.path() / "none.yaml"), settings_error);
    }

    // Guards against a profile that changes when it is formatted and parsed again, as it is when it
    // is stored and shown.
    void profilesRoundTripThroughYaml()
    {
        const profile first = parseProfile(fullProfileYaml);
        CPPUNIT_ASSERT_EQUAL(formatProfile(first),
                             formatProfile(parseProfile(formatProfile(first))));
        CPPUNIT_ASSERT(first.lookupLifetime == 2s && first.maxRetries == 1
                       && first.shedBound == 0.01 && first.latencyBound == 250ms);
    }

    void drainTargetsConvertToStringAndBack()
    {
        for (const auto target : {drain_target::upstream, drain_target::failure_domain,
                                  drain_target::region, drain_target::entry, drain_target::control})
            CPPUNIT_ASSERT(drainTargetFromString(toString(target)) == target);
        CPPUNIT_ASSERT_THROW(drainTargetFromString("planet"), settings_error);
    }

private:
    settings load(const std::string &deployment, const std::string &process) const
    {
        writeWholeFile(m_folder.path() / "deployment.yaml", deployment);
        writeWholeFile(m_folder.path() / "process.yaml", process);
        return loadSettings(m_folder.path() / "process.yaml");
    }

    temp_folder m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);
