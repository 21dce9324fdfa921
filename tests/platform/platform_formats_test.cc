#include "control/control_state.h"
#include "platform/instance_list.h"
#include "platform/json_values.h"
#include "platform/platform_routing.h"
#include "platform/platform_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <fmt/format.h>

#include <map>
#include <string>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const std::string document = R"({"version":7,
 "routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority",
   "service","max_attempts","sticky_sessions","home_regions","traffic_split","unheard_of"],
  "rows":[["a","h","/a/","unsafe","2500ms","0.6s",1,"s",2,true,["x"],null,{}],
          ["b","h","/b/","safe","2s","500ms",2,null,3,false,[],
           [{"service":"s","weight":90},{"service":"t","weight":10}],null],
          ["c","h","/c/","upload",null,null,0,"t",null,null,null,null,null]]},
 "services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start","cold_per_s"],
  "rows":[["s","/health",360,"h1",false,"3s",7.8],["t","/health",360,"h1",false,"3s",7.8]]},
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms",
  "idle_timeout":"15s"}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

void checkText(const std::string &text)
{
    checkRouting(platform_routing_codec().decodeNew(text));
}

} // namespace

class platform_formats_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_formats_test);
    CPPUNIT_TEST(readsTimes);
    CPPUNIT_TEST(readsRouting);
    CPPUNIT_TEST(rejectsInvalidRouting);
    CPPUNIT_TEST(rejectsTruncatedDocuments);
    CPPUNIT_TEST(rejectsDocumentsWithPartsThatHaveNoEffect);
    CPPUNIT_TEST(acceptsUnusualDocuments);
    CPPUNIT_TEST(skipsInvalidInstances);
    CPPUNIT_TEST(malformedEntryDoesNotAffectOthers);
    CPPUNIT_TEST(unreadableIdDoesNotAffectOthers);
    CPPUNIT_TEST(idThatIsListedTwiceIsUsedOnce);
    CPPUNIT_TEST(deepEntryUsesLittleMemory);
    CPPUNIT_TEST(oddTokenIsNotTheEndOfTheList);
    CPPUNIT_TEST(readsSettings);
    CPPUNIT_TEST(rejectsSettingsOutOfRange);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsTimes()
    {
        CPPUNIT_ASSERT(parsePlatformDuration("1500ms") == 1500ms);
        CPPUNIT_ASSERT(parsePlatformDuration("2.5s") == 2500ms);
        CPPUNIT_ASSERT(parsePlatformDuration("0ms") == 0ms);
        for (const char *text : {"", "5", "ms", "5m", "5 s", "1e400s", "nans"})
            CPPUNIT_ASSERT_MESSAGE(text, !parsePlatformDuration(text));
    }

    void readsRouting()
    {
        const routing_document read = platform_routing_codec().decode(document);
        checkRouting(read);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.version);
        CPPUNIT_ASSERT(read.routes[0].kind == request_kind::non_idempotent);
        CPPUNIT_ASSERT(read.routes[0].timeout == 2500ms && read.routes[0].latencyTarget == 600ms);
        CPPUNIT_ASSERT(read.routes[0].homeRegions == std::vector<std::string>{"x"});
        CPPUNIT_ASSERT(read.routes[1].kind == request_kind::idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.routes[1].services.size());
        // Uploads may run at most once, like every request that is not known to be idempotent.
        CPPUNIT_ASSERT(read.routes[2].kind == request_kind::non_idempotent);
        CPPUNIT_ASSERT_EQUAL(1U, read.routes[2].maxAttempts);
        CPPUNIT_ASSERT(read.services[0].coldPeriod == 3s);
        CPPUNIT_ASSERT(read.limits.idleTimeout == 15s);
    }

    // Guards against acknowledging an invalid document.
    void rejectsInvalidRouting()
    {
        const std::vector<std::pair<std::string, std::string>> faults = {
            {"\"s\",2,true", "\"gone\",2,true"}, // unknown service
            {"\"/b/\"", "\"/a/\""}, // same host and path prefix
            {"90", "0.0"}, // all weights 0, see below
            {"\"2500ms\"", "\"601s\""}, // longer than ten minutes
            {"\"2500ms\"", "2500"}, // no string with a unit
            {"\"weight\":10", "\"weight\":-1"},
            {"\"/b/\"", "\"/b\""},
            {"\"version\":7", "\"version\":-7"},
            {"\"version\":7", "\"version\":\"7\""},
            {"\"rows\":[[\"a\"", "\"rows\":[[1,\"a\""},
        };
        for (const auto &[from, to] : faults) {
            std::string text = replaced(document, from, to);
            if (to == "0.0")
                text = replaced(text, "\"weight\":10", "\"weight\":0");
            CPPUNIT_ASSERT_THROW_MESSAGE(to, checkText(text), settings_error);
        }
    }

    void rejectsTruncatedDocuments()
    {
        for (std::size_t size = 0; size < document.size(); ++size)
            CPPUNIT_ASSERT_THROW(checkText(document.substr(0, size)), settings_error);
    }

    // Guards against acknowledging a document of which a part can't be put into force: a value that
    // another one of the same name replaces, a number that its field can't hold, whose conversion
    // has no defined result, or a limit that no request can keep to. Documents that an earlier
    // release accepted must still be read.
    void rejectsDocumentsWithPartsThatHaveNoEffect()
    {
        const auto with = [](const std::string &from, const std::string &to) {
            return replaced(document, from, to);
        };
        const std::string columns = R"("columns":["name","host",)";
        for (const std::string &text :
             {with("{\"version\":7,", "{\"version\":7,\"version\":8,"),
              with("\"limits\":{", "\"limits\":{\"idle_timeout\":\"1s\","),
              with("{\"service\":\"s\",\"weight\":90}",
                   "{\"service\":\"s\",\"weight\":90,\"weight\":10}"),
              with("{\"version\":7,", "{\"routes\":{\"columns\":[],\"rows\":[]},\"version\":7,"),
              with("\"kind\"", "\"host\""),
              with("\"protocol\"", "\"name\""),
              with("\"max_body_bytes\":1000", "\"max_body_bytes\":1e30"),
              with("\"max_body_bytes\":1000", "\"max_body_bytes\":-1"),
              with("\"max_body_bytes\":1000", "\"max_body_bytes\":1.5"),
              with("\"max_header_bytes\":16384", "\"max_header_bytes\":0"),
              with("\"max_header_bytes\":16384", "\"max_header_bytes\":-1"),
              with("\"3000ms\"", "\"0ms\""),
              with("\"15s\"", "\"0ms\""),
              with("\"15s\"", "\"-1s\""),
              with("1,\"s\",2,true", "1e30,\"s\",2,true"),
              with("1,\"s\",2,true", "-1,\"s\",2,true"),
              with("1,\"s\",2,true", "1,\"s\",0,true"),
              with("1,\"s\",2,true", "1,\"s\",-1,true"),
              with("1,\"s\",2,true", "1,\"s\",1.5,true"),
              with("1,\"s\",2,true", "1,\"s\",1e30,true"),
              with("\"0.6s\"", "\"-1ms\""),
              with("[\"a\",\"h\"", "[\"a\",null"),
              with("[\"a\",\"h\"", "[\"a\",\"\""),
              with("[\"a\",\"h\"", "[\"a\",\":80\""),
              with("\"/health\",360", "\"/health\",-1"),
              with("\"/health\",360", "\"/health\",1e30"),
              with("false,\"3s\",7.8", "false,\"-3s\",7.8"),
              with("false,\"3s\",7.8", "false,\"3s\",-7.8")}) {
            CPPUNIT_ASSERT_THROW_MESSAGE(text, checkText(text), settings_error);
            const routing_document read = platform_routing_codec().decode(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{3}, read.routes.size());
            CPPUNIT_ASSERT_MESSAGE(text, read.routes[0].maxAttempts >= 1);
            CPPUNIT_ASSERT_MESSAGE(text, read.routes[0].priority >= 0);
            checkText(document);
        }
        const auto bodyLimit = [](const std::string &value) {
            return platform_routing_codec()
                .decode(
                    replaced(document, "\"max_body_bytes\":1000", "\"max_body_bytes\":" + value))
                .limits.maxBodyBytes;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 53, bodyLimit("1e30"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bodyLimit("-1"));
    }

    // Guards against rejecting a document that can be put into force as it stands.
    void acceptsUnusualDocuments()
    {
        for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                 {"\"max_body_bytes\":1000", "\"max_body_bytes\":0"},
                 {"\"max_body_bytes\":1000", "\"max_body_bytes\":1e3"},
                 {"\"max_body_bytes\":1000", "\"more\":{\"max_body_bytes\":1}"},
                 {"1,\"s\",2,true", "1,\"s\",2.0,true"},
                 {"1,\"s\",2,true", "1000,\"s\",100,true"},
                 {"\"unsafe\"", "\"another\""},
                 {"\"unheard_of\"", "\"unheard_of_too\""},
                 {"[\"a\",\"h\"", "[\"a\",\"h.example:8080\""},
                 {"[\"a\",\"h\"", "[\"b\",\"[2001:db8::1]\""},
                 {"null,3,false", "\"s\",3,false"}, // the split counts
                 {"false,\"3s\",7.8", "false,\"0s\",0"}})
            checkText(replaced(document, from, to));
    }

    // Guards against rejecting the whole list because of one malformed entry of another program.
    void malformedEntryDoesNotAffectOthers()
    {
        const auto entryWith = [](const std::string &field, const std::string &value) {
            std::map<std::string, std::string> fields
                = {{"service", R"("s")"}, {"address", R"("10.0.0.1:80")"}, {"zone", R"("z")"},
                   {"slots", "4"},        {"state", R"("ready")"},         {"born", "17"}};
            fields[field] = value;
            std::string text;
            for (const auto &[name, value_text] : fields)
                text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, value_text);
            return text + "}";
        };
        const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
        for (const std::string &odd :
             {entryWith("slots", "1e999"), entryWith("born", "1e999"), entryWith("born", "-1e300"),
              entryWith("born", "1e18"), entryWith("born", "99999999999999999999999"),
              entryWith("born", "1.5"), entryWith("slots", deep), entryWith("extra", deep), deep,
              entryWith("extra", "1e999"), entryWith("address", R"("10.0.0.1:70000")"),
              entryWith("address", R"("10.0.0.1:0")"), entryWith("address", R"("10.0.0.1:-1")"),
              entryWith("address", R"("10.0.0.1:99999999999999999999")"),
              entryWith("cold_remaining", R"("1e999s")"), std::string("[}"),
              R"({"state":"draining",)" + entryWith("state", R"("ready")").substr(1)}) {
            const std::string text = fmt::format(R"({{"instances":{{"a":{},"odd":{},"z":{}}},)"
                                                 R"("next_token":"p"}})",
                                                 entryWith("x", "1"), odd, entryWith("x", "1"));
            const instance_page read = parseInstancePage(text);
            const std::string what = odd.substr(0, 200);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{2}, read.upstreams.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, read.skippedEntries);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("p"), read.nextToken);
        }
    }

    // Guards against a list that stands still because one id can't be read as text.
    void unreadableIdDoesNotAffectOthers()
    {
        const auto entry = [](const std::string &id) {
            return fmt::format(R"("{}":{{"service":"s","address":"10.0.0.1:80","zone":"z",)"
                               R"("slots":4,"state":"ready"}})",
                               id);
        };
        for (const std::string &odd :
             {std::string(R"(i-\ud800)"), std::string(R"(i-\udc00\ud800)"), std::string(R"(i-\x)"),
              std::string(R"(i-\u12)"), std::string("i-\n"), std::string("i-\x01"),
              std::string("i-\0", 3), std::string("i-\xff"), std::string()}) {
            const instance_page read = parseInstancePage(
                fmt::format(R"({{"instances":{{{},{},{}}},"next_token":"p","{}":1}})", entry("a"),
                            entry(odd), entry("z"), odd));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{2}, read.upstreams.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string("z"), read.upstreams[1].id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{1}, read.skippedEntries);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string("p"), read.nextToken);
        }
    }

    // Guards against a draining upstream that gets requests, or a list that changes with each
    // reading, because an id is listed twice and the order of the two entries is arbitrary.
    void idThatIsListedTwiceIsUsedOnce()
    {
        const auto entry
            = [](const std::string &id, const std::string &address, const std::string &state) {
                  return fmt::format(R"("{}":{{"service":"s","address":"{}","zone":"z","slots":4,)"
                                     R"("state":"{}"}})",
                                     id, address, state);
              };
        const std::string other = entry("other", "10.0.0.9:80", "ready");
        const auto read = [&](const std::string &first, const std::string &second) {
            const instance_page page = parseInstancePage(
                fmt::format(R"({{"instances":{{{},{},{}}}}})", first, other, second));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page.upstreams.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.skippedEntries);
            CPPUNIT_ASSERT_EQUAL(std::string("other"), page.upstreams[1].id);
            return page.upstreams[0];
        };
        const std::string ready = entry("i", "10.0.0.1:80", "ready");
        const std::string draining = entry("i", "10.0.0.1:80", "draining");
        CPPUNIT_ASSERT(read(ready, draining).isDraining);
        CPPUNIT_ASSERT(read(draining, ready).isDraining);
        CPPUNIT_ASSERT(!read(ready, ready).isDraining);
        const std::string moved = entry("i", "10.0.0.2:80", "ready");
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80"), read(ready, moved).address);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), read(moved, ready).address);
    }

    // Guards against running out of memory on a deeply nested entry: a parsed level takes 50 times
    // as much memory as its two bytes of text.
    void deepEntryUsesLittleMemory()
    {
        const std::string text = R"({"instances":{"odd":)" + std::string(1'500'000, '[')
            + std::string(1'500'000, ']') + "}}";
        rusage before{};
        rusage after{};
        ::getrusage(RUSAGE_SELF, &before);
        CPPUNIT_ASSERT(parseInstancePage(text).upstreams.empty());
        ::getrusage(RUSAGE_SELF, &after);
        constexpr long maxKb = 20 * 1024;
        CPPUNIT_ASSERT(after.ru_maxrss - before.ru_maxrss < maxKb);
    }

    // Guards against using a malformed entry, or losing valid entries because of it.
    void skipsInvalidInstances()
    {
        const std::string good
            = R"("i-1":{"service":"s","address":"10.0.0.1:80","zone":"z",)"
              R"("version":"v1","slots":4,"state":"ready","cold_remaining":"2s",)"
              R"("born":1790332950000})";
        const std::string page = R"({"instances":{)" + good
            + R"(,
            "i-2":{"service":"s","address":"10.0.0.2:80","zone":"z","slots":4,"state":"draining"},
            "i-3":{"service":"s","address":"10.0.0.3:80","zone":"z","slots":4,"state":"unheard"},
            "i-4":{"service":"s","address":"10.0.0.4:80","zone":"z","slots":"4","state":"ready"},
            "i-5":{"service":7,"address":"10.0.0.5:80","zone":"z","slots":4,"state":"ready"},
            "i-6":"text","i-7":null,
            "i-8":{"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"},
            "i-9":{"service":"s)"
              "\xff\xfe"
              R"(","address":"10.0.0.9:80","zone":"z","slots":4,)"
              R"("state":"ready"},"i-10":{"service":"s","zone":"z","slots":4,"state":"ready"}},
            "next_token":"p-50"})";
        const instance_page read = parseInstancePage(page);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.upstreams.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), read.upstreams[0].id);
        CPPUNIT_ASSERT(read.upstreams[0].coldFor == 2s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1790332950000}, read.upstreams[0].startedMs);
        CPPUNIT_ASSERT(read.upstreams[1].isDraining);
        CPPUNIT_ASSERT_EQUAL(std::string("p-50"), read.nextToken);
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             parseInstancePage(R"({"instances":{},"next_token":null})").nextToken);
        CPPUNIT_ASSERT_THROW(parseInstancePage("{\"instances\":"), control_error);
    }

    // Guards against taking a page with an odd token, or with two lists, for the end of the list:
    // the upstreams of the other pages, or of the other list, would seem to be gone.
    void oddTokenIsNotTheEndOfTheList()
    {
        const auto page
            = [](const std::string &members) { return parseInstancePage("{" + members + "}"); };
        const std::string list = R"("instances":{})";
        CPPUNIT_ASSERT_EQUAL(std::string("p 1&"), page(list + R"(,"next_token":"p 1&")").nextToken);
        for (const char *end : {"", R"(,"next_token":null)", R"(,"next_token":"")"})
            CPPUNIT_ASSERT_MESSAGE(end, page(list + end).nextToken.empty());
        for (const char *odd :
             {R"(,"next_token":5)", R"(,"next_token":true)", R"(,"next_token":["p1"])",
              R"(,"next_token":{})", R"(,"next_token":"\ud800")", ",\"next_token\":\"\xff\"",
              R"(,"next_token":p1)", R"(,"next_token":"p1","next_token":null)",
              R"(,"instances":{})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(odd, page(list + odd), control_error);
        page(list);
    }

    void readsSettings()
    {
        const node_settings read = parsePlatformSettings(R"({"node_name":"n","ip":"10.1.0.12",
            "zone":"a-1","region":"a","zones":{"a-1":"a","b-1":"b"},"unheard":{"x":1},
            "listen":{"front":"10.1.0.12:8144","ready":"10.1.0.12:8140"},
            "internal_ports":[7660,7675],"seeds":["10.1.0.14:8146","10.2.0.24:8146"],
            "bootstrap":true,"data_dir":null,"fault_tolerance":{"machines":2,"zones":1},"bounds":{"grace":"6s","ttl_max":"5s",
            "retry_budget_ratio":0.3,"budget_window":"9s","retry_budget_slack":62,
            "cold_overage":1.5,"cold_slack":5,"max_region_shift":0.1},
            "cloud":{"address":"10.200.0.4:8142","rate_per_s":52.0}})");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), read.regionOfDomain.at("b-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.seedHosts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8146}, read.controlPort);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7661}, read.metricsPort());
        CPPUNIT_ASSERT(read.retryWindow == 9s && read.retryShare == 0.3);
        CPPUNIT_ASSERT(read.isFirstStart && read.dataFolder.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.toleratedDiskLosses);
        for (const char *text :
             {"", "[]", "{}", R"({"node_name":"n","ip":"1.2.3.4"})",
              R"({"node_name":7,"ip":"1.2.3.4","internal_ports":[1],"seeds":[]})",
              R"({"node_name":"n","ip":"1.2.3.4","internal_ports":[1],"seeds":[],
                  "fault_tolerance":{"machines":-1}})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, parsePlatformSettings(text), settings_error);
    }

    // Guards against settings with which the process does something else than they say: a port that
    // is cut to 16 bits, and limits and times below 0.
    void rejectsSettingsOutOfRange()
    {
        const auto read = [](const std::string &ports, const std::string &members) {
            return parsePlatformSettings(
                fmt::format(R"({{"node_name":"n","ip":"1.2.3.4","seeds":[],)"
                            R"("internal_ports":[{}],{}}})",
                            ports, members));
        };
        const std::string sound = R"("bounds":{})";
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{65'534}, read("65534,7675", sound).firstInternalPort);
        for (const char *port : {"0", "65535", "70000", "18446744073709551615"})
            CPPUNIT_ASSERT_THROW_MESSAGE(port, read(port, sound), settings_error);
        for (const char *odd :
             {R"("bounds":{"grace":"-1s"})", R"("bounds":{"ttl_max":"-1ms"})",
              R"("bounds":{"retry_budget_ratio":-0.1})", R"("bounds":{"budget_window":"0ms"})",
              R"("bounds":{"retry_budget_slack":-1})", R"("bounds":{"cold_overage":-1})",
              R"("bounds":{"cold_slack":-1})", R"("bounds":{"max_region_shift":-1e30})",
              R"("cloud":{"rate_per_s":-1})", R"("limits":{"link_mbps":0})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(odd, read("7660", odd), settings_error);
        CPPUNIT_ASSERT(read("7660", R"("bounds":{"grace":"0ms","cold_slack":0})").stopLimit == 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_formats_test);
