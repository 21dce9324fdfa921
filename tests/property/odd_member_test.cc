#include "carrier/route_table.h"
#include "control/control_state.h"
#include "control/routing_service.h"
#include "odd_json.h"
#include "platform/instance_list.h"
#include "platform/platform_routing.h"
#include "platform/platform_settings.h"
#include "property.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <ranges>
#include <string>

#include <fmt/format.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

using nlohmann::ordered_json;

const ordered_json soundRouting = ordered_json::parse(R"({"version":8,
 "routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority",
   "service","max_attempts","sticky_sessions","home_regions","traffic_split","unheard_of"],
  "rows":[["a","a.example","/a/","unsafe","2500ms","0.6s",1,"s",2,true,["x"],null,{}],
          ["b","b.example:80","/a/","safe","2s","500ms",2,null,3,false,[],
           [{"service":"s","weight":90},{"service":"t","weight":10}],null],
          ["c","A.example","/c/a/","upload",null,null,0,"t",null,null,null,null,null],
          ["d","[2001:db8::1]","/","safe","1s","1s",0,"t",1,false,["x","y"],null,null]]},
 "services":{"columns":["name","health_path","max_conns","cold_start","cold_per_s"],
  "rows":[["s","/health",360,"3s",7.8],["t","/health",20,"0s",0]]},
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms",
  "idle_timeout":"15s"}})");

const ordered_json soundPage = ordered_json::parse(R"({"instances":{
 "s-1":{"service":"s","address":"10.0.0.1:80","zone":"z1","version":"v1","slots":9,"state":"ready",
   "cold_remaining":"0ms","born":1700000000000},
 "s-2":{"service":"s","address":"10.0.0.2:80","zone":"z2","version":"v1","slots":9,
   "state":"draining","cold_remaining":"2s","born":1700000000001},
 "t-1":{"service":"t","address":"10.0.0.3:80","zone":"z1","version":"v2","slots":1,"state":"ready",
   "cold_remaining":"1500ms","born":1700000000002},
 "t-2":{"service":"t","address":"10.0.0.4:80","zone":"z2","version":"v2","slots":40,
   "state":"ready","cold_remaining":"0ms","born":1700000000003}},
 "next_token":"page-2"})");

const ordered_json soundSettings = ordered_json::parse(R"({"node_name":"front-1","ip":"10.1.0.12",
 "zone":"a-1","region":"a","zones":{"a-1":"a","b-1":"b"},
 "listen":{"front":"10.1.0.12:8144","ready":"10.1.0.12:8140","control":"10.1.0.12:8146",
   "directory":"10.1.0.12:8148"},
 "internal_ports":[7660,7675],"seeds":["10.1.0.14:8146","10.2.0.24:8146"],"bootstrap":true,
 "data_dir":"/data","fault_tolerance":{"machines":2,"zones":1},
 "limits":{"link_mbps":100},
 "bounds":{"grace":"6s","ttl_max":"1s","retry_budget_ratio":0.3,"budget_window":"9s",
   "retry_budget_slack":62,"cold_overage":1.5,"cold_slack":5,"max_region_shift":0.1},
 "cloud":{"address":"10.200.0.4:8142","rate_per_s":52.0}})");

// Values of a decoded document by the path of their member.
using values_by_path = std::map<std::string, std::string>;

std::string ms(std::chrono::milliseconds time)
{
    return fmt::format("{}", time.count());
}

std::string describe(const route &route)
{
    std::string services;
    for (const weighted_service &part : route.services)
        services += fmt::format("{}={};", part.service, part.weight);
    return fmt::format("{} {} {} {} {} {} {} {} {} {} {}", route.name, route.host, route.pathPrefix,
                       static_cast<int>(route.kind), route.timeout.count(),
                       route.latencyTarget.count(), route.priority, services, route.maxAttempts,
                       route.hasAffinity, fmt::join(route.homeRegions, ","));
}

std::string describe(const routed_service &service)
{
    return fmt::format("{} {} {} {} {}", service.name, service.healthPath, service.maxConnections,
                       service.coldPeriod.count(), service.coldRate);
}

values_by_path valuesOf(const routing_document &document)
{
    values_by_path result;
    for (const route &each : document.routes)
        result["routes/" + routeKey(each)] = describe(each);
    for (const routed_service &each : document.services)
        result["services/" + each.name] = describe(each);
    result["limits/max_header_bytes"] = std::to_string(document.limits.maxHeaderBytes);
    result["limits/max_body_bytes"] = std::to_string(document.limits.maxBodyBytes);
    result["limits/header_timeout"] = ms(document.limits.headerTimeout);
    result["limits/idle_timeout"] = ms(document.limits.idleTimeout);
    result["version"] = std::to_string(document.version);
    return result;
}

// Whether the odd member decides on the value at `path`: it is a part of the value's row or of a
// whole table, or of a column.
bool decidesOn(const odd_json &odd, const std::string &path)
{
    if (path == "version" || path.starts_with("limits/"))
        return odd.touches(path);
    const std::string table = path.substr(0, path.find('/'));
    if (odd.path.front() != table)
        return false;
    if (odd.path.size() < 3 || odd.path[1] != "rows")
        return true;
    const ordered_json &row = soundRouting[table]["rows"][std::stoul(odd.path[2])];
    if (table == "services")
        return path == "services/" + row[0].get<std::string>();
    route changed;
    changed.host = row[1];
    changed.pathPrefix = row[2];
    return path == "routes/" + routeKey(changed);
}

values_by_path valuesOf(const node_settings &settings)
{
    values_by_path result
        = {{"node_name", settings.name},
           {"ip", settings.host},
           {"zone", settings.failureDomain},
           {"region", settings.region},
           {"listen/front", settings.entryAddress},
           {"listen/ready", settings.readyAddress},
           {"listen/control", settings.controlAddress},
           {"listen/directory", settings.directoryAddress},
           {"internal_ports", std::to_string(settings.firstInternalPort)},
           {"seeds", fmt::format("{}", fmt::join(settings.seedHosts, ","))},
           {"bootstrap", std::to_string(settings.isFirstStart)},
           {"data_dir", settings.dataFolder.string()},
           {"fault_tolerance/machines", std::to_string(settings.toleratedDiskLosses)},
           {"limits/link_mbps", std::to_string(settings.linkBytesPerSecond)},
           {"bounds/grace", ms(settings.stopLimit)},
           {"bounds/ttl_max", ms(settings.directoryLifetime)},
           {"bounds/retry_budget_ratio", std::to_string(settings.retryShare)},
           {"bounds/budget_window", ms(settings.retryWindow)},
           {"bounds/retry_budget_slack", std::to_string(settings.retryAllowance)},
           {"bounds/cold_overage", std::to_string(settings.coldOverage)},
           {"bounds/cold_slack", std::to_string(settings.coldAllowance)},
           {"bounds/max_region_shift", std::to_string(settings.maxRegionShift)},
           {"cloud/address", settings.listAddress},
           {"cloud/rate_per_s", std::to_string(settings.listCallsPerSecond)}};
    for (const auto &[domain, region] : settings.regionOfDomain)
        result["zones/" + domain] = region;
    return result;
}

// Whether the process can work with the numbers of the settings.
bool areUsable(const node_settings &settings)
{
    const auto isAmount = [](double value) { return std::isfinite(value) && value >= 0; };
    return settings.firstInternalPort > 0 && settings.firstInternalPort < 65'535
        && settings.stopLimit >= 0ms && settings.directoryLifetime >= 0ms
        && settings.retryWindow > 0ms && isAmount(settings.retryShare)
        && isAmount(settings.retryAllowance) && isAmount(settings.coldOverage)
        && isAmount(settings.coldAllowance) && isAmount(settings.maxRegionShift)
        && std::isfinite(settings.linkBytesPerSecond) && settings.linkBytesPerSecond > 0
        && isAmount(settings.listCallsPerSecond);
}

// A log of one replica that applies each command at once.
class immediate_log final : public replicator
{
public:
    explicit immediate_log(state_machine &machine)
        : m_machine(machine)
    { }
    std::future<submit_result> submit(std::string command, std::chrono::milliseconds) override
    {
        std::promise<submit_result> result;
        ++m_index;
        result.set_value(
            {submit_result::status::applied, m_index, m_machine.apply(m_index, command), 1});
        return result.get_future();
    }
    std::future<bool> confirmRead(std::chrono::milliseconds) override
    {
        std::promise<bool> result;
        result.set_value(true);
        return result.get_future();
    }
    role_view view() const override
    {
        role_view result;
        result.self = result.leader = 1;
        result.isLeader = result.isVoter = result.isConnected = true;
        return result;
    }

private:
    state_machine &m_machine;
    log_index m_index = 0;
};

// Checks that an accepted document is in force as a whole: requests of each route find it, and
// what the odd member doesn't decide on is as in the sound document.
void checkInForce(const odd_json &odd)
{
    const platform_routing_codec codec;
    const routing_document document = codec.decodeNew(odd.text);
    const values_by_path values = valuesOf(document);
    for (const auto &[path, value] : valuesOf(codec.decodeNew(soundRouting.dump())))
        if (!decidesOn(odd, path)) {
            RC_ASSERT(values.contains(path));
            RC_ASSERT(values.at(path) == value);
        }
    const route_table table(document);
    for (const route &wanted : document.routes) {
        const route *found = table.find(wanted.host, wanted.pathPrefix + "x");
        RC_ASSERT(found != nullptr);
        RC_ASSERT(describe(*found) == describe(wanted));
        for (const weighted_service &part : wanted.services)
            RC_ASSERT(table.findService(part.service) != nullptr);
    }
    // Entry instances and restarted processes decode the text again.
    RC_ASSERT(valuesOf(codec.decode(odd.text)) == values);
}

} // namespace

// Documents in which one member is odd: missing, null, given twice, of another type, out of range,
// not readable, or equal to another under some rule. Either the whole is rejected and what stood
// before stands, or everything else in it works.
class odd_member_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_member_test);
    CPPUNIT_TEST(oddRoutingIsRejectedOrInForce);
    CPPUNIT_TEST(oddListEntryDoesNotAffectOthers);
    CPPUNIT_TEST(oddSettingIsRejectedOrUsable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against acknowledging a document of which a part is not in force, or which the next
    // process reads in another way, and against a rejected document that changes something.
    void oddRoutingIsRejectedOrInForce()
    {
        ordered_json before = soundRouting;
        before["version"] = 7;
        checkProperty("odd routing", 3'000, [text = before.dump()] {
            const odd_json odd = drawOddJson(soundRouting);
            RC_LOG() << odd.describe();
            control_state state;
            immediate_log log(state);
            const platform_routing_codec codec;
            null_event_log events;
            routing_service service(log, state, codec, events);
            RC_ASSERT(service.putRouting(text).outcome == routing_result::status::accepted);
            const routing_result result = service.putRouting(odd.text);
            const bool isAccepted = result.outcome == routing_result::status::accepted;
            RC_ASSERT(isAccepted || result.outcome == routing_result::status::invalid);
            RC_ASSERT(isAccepted || !result.detail.empty());
            const bool isNewer = isAccepted && codec.decodeNew(odd.text).version > 7;
            RC_ASSERT(service.read().text == (isNewer ? odd.text : text));
            control_state restored;
            restored.restore(2, state.snapshot());
            RC_ASSERT(restored.routing()->text() == state.routing()->text());
            if (isAccepted)
                checkInForce(odd);
        });
    }

    // Guards against a list of upstreams of which one odd entry, or an odd page, makes others
    // disappear.
    void oddListEntryDoesNotAffectOthers()
    {
        const instance_page sound = parseInstancePage(soundPage.dump());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sound.upstreams.size());
        checkProperty("odd page of the list", 3'000, [&] {
            const odd_json odd = drawOddJson(soundPage);
            RC_LOG() << odd.describe();
            std::optional<instance_page> page;
            try {
                page = parseInstancePage(odd.text);
            } catch (const control_error &) {
                return; // the list that was read before stays in use
            }
            const bool isWholeList = odd.path.size() == 1 && odd.path[0] == "instances";
            for (const listed_upstream &upstream : sound.upstreams) {
                const bool isOdd = isWholeList ? odd.kind == odd_json::change::replaced
                                               : odd.touches("instances/" + upstream.id);
                if (isOdd)
                    continue;
                const auto found
                    = std::ranges::find(page->upstreams, upstream.id, &listed_upstream::id);
                RC_ASSERT(found != page->upstreams.end());
                RC_ASSERT(*found == upstream);
            }
            // An odd token must not be taken for the end of the list.
            const bool isEnd = odd.touches("next_token")
                && (odd.kind == odd_json::change::removed || odd.value == "null"
                    || odd.value == "\"\"" || odd.kind == odd_json::change::renamed);
            RC_ASSERT(isEnd || !page->nextToken.empty());
        });
    }

    // Guards against settings that are accepted and make the process do something else than they
    // say.
    void oddSettingIsRejectedOrUsable()
    {
        const values_by_path sound = valuesOf(parsePlatformSettings(soundSettings.dump()));
        checkProperty("odd settings", 3'000, [&] {
            const odd_json odd = drawOddJson(soundSettings);
            RC_LOG() << odd.describe();
            std::optional<node_settings> settings;
            try {
                settings = parsePlatformSettings(odd.text);
            } catch (const settings_error &failure) {
                RC_ASSERT(!std::string(failure.what()).empty());
                return;
            }
            const values_by_path values = valuesOf(*settings);
            for (const auto &[path, value] : sound)
                if (!odd.touches(path)) {
                    RC_ASSERT(values.contains(path));
                    RC_ASSERT(values.at(path) == value);
                }
            RC_ASSERT(areUsable(*settings));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_member_test);
