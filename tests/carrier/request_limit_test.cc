#include "proxy_fixture.h"
#include "steering/upstream_notices.h"
#include "testing/sliding_window.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// An upstream that names a request limit, and the arrival times of its requests.
class limited_upstream
{
public:
    // `value`: of the limit field; empty: no such field.
    explicit limited_upstream(std::string value)
        : m_value(std::move(value))
    { }

    scripted_server::script script()
    {
        return [this](const std::string &request) {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            const std::string field
                = m_value.empty() ? "" : headerNames.requestLimit + ": " + m_value + "\r\n";
            return scripted_answer{scriptedResponse(200, signedEcho(request) + field, "done")};
        };
    }
    void setValue(std::string value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
    }
    std::vector<steady_time> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    std::size_t count() const { return arrivals().size(); }

private:
    mutable std::mutex m_mutex;
    std::string m_value;
    std::vector<steady_time> m_arrivals;
};

// Sends requests one after the other for `time`, and returns how many were not answered with 200.
std::size_t sendFor(proxy_fixture &system, std::chrono::milliseconds time)
{
    std::size_t failed = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
        if (system.send("/safe/x", fmt::format("id-{}", i)).status != 200)
            ++failed;
    return failed;
}

} // namespace

// The requests per second that an upstream takes from all entry instances together.
class request_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_limit_test);
    CPPUNIT_TEST(requestsStayWithinNamedLimit);
    CPPUNIT_TEST(limitedUpstreamServesWhatItTakes);
    CPPUNIT_TEST(shareShrinksWithTheNumberOfInstances);
    CPPUNIT_TEST(instanceWithoutShareSendsNothing);
    CPPUNIT_TEST(limitEndsWithAResponseThatNamesNone);
    CPPUNIT_TEST(unreadableLimitKeepsTheLastOne);
    CPPUNIT_TEST(limitOfAnotherProcessIsIgnored);
    CPPUNIT_TEST(misdirectedRequestDoesNotEndTheLimit);
    CPPUNIT_TEST(limitEndsWithItsProcess);
    CPPUNIT_TEST(limitOutlastsReadingsOfTheList);
    CPPUNIT_TEST(requestsThatWaitAreWithdrawn);
    CPPUNIT_TEST(retriesCountTowardsTheLimit);
    CPPUNIT_TEST(idleLimitIsCheckedAgain);
    CPPUNIT_TEST(requestsBeyondAllLimitsAreRejectedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending a limited upstream what its load and slots alone permit.
    void requestsStayWithinNamedLimit()
    {
        constexpr double limit = 2;
        limited_upstream limited(fmt::format("{}", limit));
        proxy_fixture system({limited.script(), answerOk});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sendFor(system, 6s));
        std::vector<steady_time> arrivals = limited.arrivals();
        CPPUNIT_ASSERT(!arrivals.empty());
        const steady_time known = arrivals.front() + 500ms;
        std::erase_if(arrivals, [&](steady_time at) { return at < known; });
        // What the users allow.
        CPPUNIT_ASSERT(static_cast<double>(mostWithin(arrivals, 4s)) <= 1.5 * limit * 4 + 5);
    }

    // Guards against taking a limit for a ban: with no other upstream, an instance without peers
    // sends all that the upstream takes.
    void limitedUpstreamServesWhatItTakes()
    {
        limited_upstream limited("2");
        proxy_fixture system({limited.script()});
        const std::size_t failed = sendFor(system, 4s);
        CPPUNIT_ASSERT(failed > 0);
        CPPUNIT_ASSERT(limited.count() >= 8 && limited.count() <= 9);
    }

    // Guards against instances that each use the whole limit.
    void shareShrinksWithTheNumberOfInstances()
    {
        limited_upstream limited("2");
        proxy_fixture system({limited.script(), answerOk});
        system.setInstances({{"entry-1", "r"}, {"a", "r"}, {"b", "r"}, {"c", "r"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sendFor(system, 3s));
        // The first request, and a fourth of 10, rounded up. Four instances that do so stay within
        // the 17 requests that the users allow.
        CPPUNIT_ASSERT(limited.count() >= 1 && limited.count() <= 4);
    }

    // Guards against rounding up the part of an instance when there are more instances than
    // requests.
    void instanceWithoutShareSendsNothing()
    {
        limited_upstream limited("1");
        proxy_fixture system({limited.script()});
        std::vector<peer_instance> instances{{"entry-1", "other region"}};
        for (int i = 0; i < 40; ++i)
            instances.push_back({fmt::format("entry-near-{}", i), "r"});
        system.setInstances(instances);
        sendFor(system, 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limited.count());
    }

    // Guards against a limit that holds for longer than the upstream says so.
    void limitEndsWithAResponseThatNamesNone()
    {
        limited_upstream limited("0.5");
        proxy_fixture system({limited.script()});
        sendFor(system, 500ms);
        CPPUNIT_ASSERT(limited.count() <= 3);
        limited.setValue("");
        waitUntil("the limit is over", [&] {
            system.send("/safe/x");
            return limited.count() > 20;
        });
    }

    // Guards against a value that can't be read and ends a limit.
    void unreadableLimitKeepsTheLastOne()
    {
        limited_upstream limited("0.25");
        proxy_fixture system({limited.script()});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        limited.setValue("-1");
        sendFor(system, 1s);
        CPPUNIT_ASSERT(limited.count() <= 2);
    }

    // Guards against a limit of the process that has an address now for the one that is listed.
    void limitOfAnotherProcessIsIgnored()
    {
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{scriptedResponse(200,
                                                    signedEcho(request) + headerNames.upstreamId
                                                        + ": other\r\n" + headerNames.requestLimit
                                                        + ": 0\r\n",
                                                    "")};
        }});
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
    }

    // Guards against telling all instances that a limit is over when another process, which has the
    // address now, rejects a request.
    void misdirectedRequestDoesNotEndTheLimit()
    {
        std::atomic<bool> isReplaced = false;
        proxy_fixture system({[&](const std::string &request) {
            if (isReplaced)
                return scripted_answer{scriptedResponse(421, echo(request), "")};
            return scripted_answer{scriptedResponse(
                200, signedEcho(request) + headerNames.requestLimit + ": 5\r\n", "done")};
        }});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        isReplaced = true;
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
        std::optional<double> limit;
        system.thread().call(
            [&] { limit = system.proxy().upstreams().find("u0")->notices->requestLimit(); });
        CPPUNIT_ASSERT_EQUAL(5.0, limit.value());
    }

    // Guards against a limit that stays with an id when another process has it.
    void limitEndsWithItsProcess()
    {
        limited_upstream limited("0");
        proxy_fixture system({limited.script()});
        waitUntil("its share is used up", [&] { return system.send("/safe/x").status == 503; });
        limited.setValue("");
        system.apply([](upstream_listing &listing) { ++listing.upstreams[0].startedMs; });
        waitUntil("the next process serves", [&] { return system.send("/safe/x").status == 200; });
        waitUntil("without a limit", [&] {
            system.send("/safe/x");
            return limited.count() > 20;
        });
    }

    // Guards against a limit, or requests that count towards it, that are forgotten because the
    // entry was missing in one reading of the list.
    void limitOutlastsReadingsOfTheList()
    {
        limited_upstream limited("0.25");
        proxy_fixture system({limited.script()});
        sendFor(system, 300ms);
        listed_upstream entry;
        system.apply([&](upstream_listing &listing) {
            entry = listing.upstreams[0];
            listing.upstreams.clear();
        });
        system.apply([&](upstream_listing &listing) { listing.upstreams = {entry}; });
        sendFor(system, 500ms);
        CPPUNIT_ASSERT(limited.count() <= 2);
    }

    // Guards against requests that were chosen before the limit was known and are sent after it,
    // because they wait for a connection.
    void requestsThatWaitAreWithdrawn()
    {
        for (int run = 0; run < 20; ++run) {
            limited_upstream limited("0");
            proxy_fixture system({limited.script(), answerOk});
            std::vector<std::thread> callers;
            std::atomic<int> failed = 0;
            constexpr int callerCount = 12;
            callers.reserve(callerCount);
            for (int i = 0; i < callerCount; ++i)
                callers.emplace_back([&, i] {
                    if (system.send("/once/x", fmt::format("id-{}", i), "claim").status != 200)
                        ++failed;
                });
            std::ranges::for_each(callers, &std::thread::join);
            CPPUNIT_ASSERT_EQUAL(0, failed.load());
            const std::size_t before = limited.count();
            for (int i = 0; i < 5; ++i)
                CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
            // One request in 10 s is permitted, which may have been sent before.
            CPPUNIT_ASSERT(before == 0 || limited.count() <= before + 1);
        }
    }

    // Guards against retries, and requests on reused connections, that pass the limit by.
    void retriesCountTowardsTheLimit()
    {
        limited_upstream limited("1");
        const scripted_server::script failing
            = [](const std::string &request) { return refuse(request); };
        proxy_fixture system({limited.script(), failing, failing});
        sendFor(system, 3s);
        // The first request, and 4 in 4 s.
        CPPUNIT_ASSERT(limited.count() <= 5);
    }

    // Guards against an upstream that gets nothing for good, because others are faster, and so
    // can't say that its limit is over.
    void idleLimitIsCheckedAgain()
    {
        upstream_notices notices;
        const steady_time start(1000s);
        CPPUNIT_ASSERT(!notices.needsLimitCheck(start));
        CPPUNIT_ASSERT(notices.recordLimit({3.0, start}));
        CPPUNIT_ASSERT(!notices.recordLimit({3.0, start + 1s}));
        CPPUNIT_ASSERT(
            !notices.needsLimitCheck(start + 1s + upstream_notices::limitCheckDelay - 1ms));
        CPPUNIT_ASSERT(notices.needsLimitCheck(start + 1s + upstream_notices::limitCheckDelay));
        // An older observation that arrives later changes nothing.
        CPPUNIT_ASSERT(!notices.recordLimit({std::nullopt, start}));
        CPPUNIT_ASSERT_EQUAL(3.0, notices.requestLimit().value());
        CPPUNIT_ASSERT(notices.recordLimit({std::nullopt, start + 2s}));
        CPPUNIT_ASSERT(!notices.requestLimit());
        CPPUNIT_ASSERT(!notices.needsLimitCheck(start + 1h));
    }

    // Guards against requests that wait for their deadline while all upstreams are at their limits.
    void requestsBeyondAllLimitsAreRejectedAtOnce()
    {
        limited_upstream first("0");
        limited_upstream second("0");
        proxy_fixture system({first.script(), second.script()});
        waitUntil("all shares are used up", [&] { return system.send("/safe/x").status == 503; });
        const std::size_t before = first.count() + second.count();
        const auto start = std::chrono::steady_clock::now();
        const http_response response = system.send("/once/x", "id", "claim");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 5s);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!response.header("retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(before, first.count() + second.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_limit_test);
