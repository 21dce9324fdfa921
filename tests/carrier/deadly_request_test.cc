#include "tests/carrier/proxy_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <numeric>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

// A request under which the upstreams end that begin it. Its caller sends it again, each time with
// an id of its own.
class deadly_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deadly_request_test);
    CPPUNIT_TEST(requestThatEndedThreeUpstreamsIsNotSentAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one request that ends upstream after upstream: an attempt of the caller
    // reaches `maxAttempts` upstreams, and nothing connects it with the attempts before it.
    void requestThatEndedThreeUpstreamsIsNotSentAgain()
    {
        constexpr std::size_t upstreamCount = 6;
        constexpr int callerAttempts = 6;
        constexpr int maxEnds = 3; // of issue 42
        std::array<std::atomic<int>, upstreamCount> ends{};
        std::vector<scripted_server::script> scripts;
        scripts.reserve(upstreamCount);
        for (std::atomic<int> &ended : ends)
            scripts.emplace_back([&ended](const std::string &request) {
                if (!request.starts_with("GET /safe/deadly "))
                    return answerOk(request);
                ++ended;
                return scripted_answer{"", false, true};
            });
        proxy_fixture system(std::move(scripts));
        for (int attempt = 0; attempt < callerAttempts; ++attempt) {
            system.send("/safe/deadly", fmt::format("deadly-{}", attempt), {}, "object");
            // An upstream that ended restarts under another id.
            system.apply([&](upstream_listing &listing) {
                for (std::size_t i = 0; i < upstreamCount; ++i)
                    listing.upstreams[i].id = fmt::format("u{}-{}", i, ends[i].load());
            });
            CPPUNIT_ASSERT_EQUAL(200,
                                 system.send("/safe/x", fmt::format("other-{}", attempt)).status);
        }
        const int total = std::accumulate(ends.begin(), ends.end(), 0);
        CPPUNIT_ASSERT(total > 0);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} upstreams ended", total), total <= maxEnds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deadly_request_test);
