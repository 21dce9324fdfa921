#include "carrier/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace buckthorngrade;

namespace {

// Reference implementation that tries every route.
const route *findByLinearScan(const routing_document &document, const std::string &host,
                              const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    const route *best = nullptr;
    for (const route &route : document.routes)
        if (route.host == host && path.starts_with(route.pathPrefix)
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    return best;
}

std::string randomPath(std::mt19937_64 &random)
{
    std::string path = "/";
    for (std::size_t parts = random() % 4; parts > 0; --parts)
        path += fmt::format("{}/", random() % 3);
    return path;
}

route routeAt(const std::string &host, const std::string &pathPrefix)
{
    route result;
    result.name = host + pathPrefix;
    result.host = host;
    result.pathPrefix = pathPrefix;
    result.services = {{"s", 1}};
    return result;
}

bool isAccepted(const routing_document &document)
{
    try {
        checkRouting(document);
        return true;
    } catch (const settings_error &) {
        return false;
    }
}

routing_document documentOf(std::vector<route> routes)
{
    routing_document result;
    result.routes = std::move(routes);
    result.services = {{"s", "/health", 0, std::chrono::milliseconds(0), 0}};
    return result;
}

} // namespace

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(agreesWithLinearScan);
    CPPUNIT_TEST(acceptedRoutesGetTheirRequests);
    CPPUNIT_TEST(sameHostsAreRejectedAndOthersToldApart);
    CPPUNIT_TEST(splitKeepsItsWeights);
    CPPUNIT_TEST(routesOfOneNameHaveSplitsOfTheirOwn);
    CPPUNIT_TEST_SUITE_END();

public:
    void agreesWithLinearScan()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            std::map<std::string, std::string> usedPrefixes;
            routing_document document;
            for (std::size_t i = random() % 12; i > 0; --i) {
                route added;
                added.host = random() % 2 == 0 ? "a" : "b";
                added.pathPrefix = randomPath(random);
                if (usedPrefixes.emplace(added.host + added.pathPrefix, "").second)
                    document.routes.push_back(added);
            }
            const route_table table(document);
            for (int i = 0; i < 50; ++i) {
                const std::string host = random() % 2 == 0 ? "a" : "b";
                std::string target = randomPath(random);
                if (random() % 2 == 0)
                    target += "x";
                if (random() % 3 == 0)
                    target += "?q=/0/1/";
                const route *found = table.find(host, target);
                const route *expected = findByLinearScan(document, host, target);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    fmt::format("seed {}, {}{}", seed, host, target),
                    expected == nullptr ? std::string("none") : expected->pathPrefix,
                    found == nullptr ? std::string("none") : found->pathPrefix);
            }
        }
    }

    // Guards against a document that is accepted although two of its routes are the same to the
    // lookup, so that one gets the requests of the other.
    void acceptedRoutesGetTheirRequests()
    {
        const std::vector<std::string> hosts
            = {"a.example",      "A.example",          "a.EXAMPLE",       "a.example:80",
               "A.example:8080", "a.example:",         "a.example.",      "b.example",
               "b.example:80",   "[2001:db8::1]",      "[2001:DB8::1]",   "[2001:db8::1]:80",
               "[2001:db8::2]",  "[2001:db8::2]:8080", "[2001:db8::1",    "2001:db8::1",
               "2001:db8::2",    "2001:DB8::2",        "10.0.0.1",        "10.0.0.1:80",
               "10.0.0.2:80",    "xn--4gbrim.example", "a.example.:8080", "[v1.a:b]:1"};
        const std::vector<std::string> prefixes = {"/", "/a/", "/A/", "/a/b/", "/a//", "/%61/"};
        std::size_t acceptedDocuments = 0;
        for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
            std::mt19937_64 random(seed);
            routing_document document = documentOf({});
            for (std::size_t i = 2 + random() % 4; i > 0; --i)
                document.routes.push_back(
                    routeAt(hosts[random() % hosts.size()], prefixes[random() % prefixes.size()]));
            const route_table table(document);
            bool allFound = true;
            for (const route &wanted : document.routes) {
                const route *found = table.find(wanted.host, wanted.pathPrefix + "x");
                CPPUNIT_ASSERT_MESSAGE(wanted.name, found != nullptr);
                allFound = allFound && found->name == wanted.name;
            }
            const bool areDistinct = [&] {
                std::set<std::string> names;
                for (const route &each : document.routes)
                    names.insert(each.name);
                return names.size() == document.routes.size();
            }();
            const bool accepted = isAccepted(document);
            acceptedDocuments += accepted ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), allFound && areDistinct,
                                         accepted);
        }
        CPPUNIT_ASSERT(acceptedDocuments > 100);
    }

    // Guards against telling apart spellings of one host, which the caller may choose, and against
    // rejecting or mixing up the routes of different hosts.
    void sameHostsAreRejectedAndOthersToldApart()
    {
        const std::vector<std::pair<std::string, std::string>> same
            = {{"a.example", "A.Example"},
               {"a.example", "a.example:8080"},
               {"a.example:1", "a.example:2"},
               {"a.example", "a.example:"},
               {"[2001:db8::1]", "[2001:DB8::1]"},
               {"[2001:db8::1]", "[2001:db8::1]:80"},
               {"[2001:db8::1]:1", "[2001:db8::1]:2"}};
        for (const auto &[first, second] : same) {
            const std::string what = fmt::format("{} and {}", first, second);
            CPPUNIT_ASSERT_MESSAGE(
                what, !isAccepted(documentOf({routeAt(first, "/p/"), routeAt(second, "/p/")})));
            CPPUNIT_ASSERT_MESSAGE(
                what, isAccepted(documentOf({routeAt(first, "/p/"), routeAt(second, "/q/")})));
            const route_table table(documentOf({routeAt(first, "/p/")}));
            CPPUNIT_ASSERT_MESSAGE(what, table.find(second, "/p/x") != nullptr);
        }
        const std::vector<std::pair<std::string, std::string>> different
            = {{"a.example", "b.example"},
               {"a.example", "a.example."},
               {"[2001:db8::1]", "[2001:db8::2]"},
               {"[2001:db8::1]:80", "[2001:db8::2]:80"},
               {"10.0.0.1:80", "10.0.0.2:80"}};
        for (const auto &[first, second] : different) {
            const std::string what = fmt::format("{} and {}", first, second);
            const routing_document document
                = documentOf({routeAt(first, "/p/"), routeAt(second, "/p/")});
            CPPUNIT_ASSERT_MESSAGE(what, isAccepted(document));
            const route_table table(document);
            for (const std::string &host : {first, second})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, host + "/p/", table.find(host, "/p/x")->name);
        }
    }

    // Guards against shares that match the weights only in the long run.
    void splitKeepsItsWeights()
    {
        service_splitter splitter;
        route split;
        split.name = "r";
        split.services = {{"a", 70}, {"b", 20}, {"c", 10}, {"d", 0}};
        std::map<std::string, int> counts;
        for (int i = 1; i <= 1'000; ++i) {
            ++counts[splitter.choose(split)];
            for (const weighted_service &part : split.services)
                CPPUNIT_ASSERT(std::abs(counts[part.service] - part.weight / 100 * i) <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(0, counts["d"]);
    }

    // Guards against routes with the same name that share the state of their splits: with requests
    // that alternate, each route would send all of its requests to one service.
    void routesOfOneNameHaveSplitsOfTheirOwn()
    {
        service_splitter splitter;
        std::vector<route> routes{routeAt("a.example", "/p/"), routeAt("a.example", "/q/"),
                                  routeAt("b.example", "/p/"), routeAt("A.example:80", "/r/")};
        for (route &each : routes)
            each.name = "r";
        for (std::size_t i = 0; i < routes.size(); ++i)
            routes[i].services = {{"x", 50}, {"y", i < 2 ? 50.0 : 30.0}};
        std::map<std::string, int> counts;
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round)
            for (const route &each : routes)
                ++counts[each.host + each.pathPrefix + splitter.choose(each)];
        for (const route &each : routes) {
            const double wanted = rounds * 50 / (50 + each.services.back().weight);
            const int actual = counts[each.host + each.pathPrefix + "x"];
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{}{}: {} of {}", each.host, each.pathPrefix, actual, wanted),
                std::abs(actual - wanted) <= 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);
