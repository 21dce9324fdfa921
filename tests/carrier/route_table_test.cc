#include "carrier/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <map>
#include <random>
#include <string>

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

} // namespace

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(agreesWithLinearScan);
    CPPUNIT_TEST(splitKeepsItsWeights);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);
