#include "carrier/notice_fields.h"
#include "proxy_fixture.h"
#include "steering/upstream_notices.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

http_head responseHead(int status, http_fields fields)
{
    http_head result;
    result.status = status;
    result.fields = std::move(fields);
    return result;
}

std::string leavingField()
{
    return headerNames.leaving + ": 1\r\n";
}

scripted_answer refuseFor(const std::string &request, const std::string &seconds)
{
    return {scriptedResponse(
        503, echo(request) + headerNames.notRun + ": 1\r\nRetry-After: " + seconds + "\r\n", "")};
}

} // namespace

class upstream_notices_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_notices_test);
    CPPUNIT_TEST(decodesNotices);
    CPPUNIT_TEST(decodesRequestLimits);
    CPPUNIT_TEST(noticesFollowReference);
    CPPUNIT_TEST(leavingUpstreamGetsNoFurtherRequests);
    CPPUNIT_TEST(leavingCountsFromTheHead);
    CPPUNIT_TEST(leavingOutlastsReadingsOfTheList);
    CPPUNIT_TEST(restartedUpstreamIsUsedAgain);
    CPPUNIT_TEST(responseOfAnotherProcessIsIgnored);
    CPPUNIT_TEST(unsentRequestsAreWithdrawn);
    CPPUNIT_TEST(quietUpstreamGetsNothingAndComesBack);
    CPPUNIT_TEST(eachQuietPeriodIsKept);
    CPPUNIT_TEST(allQuietIsRejectedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against values that take an upstream out for good, throw, or are taken for others.
    void decodesNotices()
    {
        const auto period = [](int status, const std::vector<std::string> &values) {
            http_fields fields;
            for (const std::string &value : values)
                fields.emplace_back("retry-after", value);
            return parseNoticeFields(responseHead(status, fields), headerNames);
        };
        CPPUNIT_ASSERT(period(503, {"4"}).quietPeriod == 4s);
        CPPUNIT_ASSERT(period(503, {"0.3"}).quietPeriod == 300ms);
        CPPUNIT_ASSERT(period(503, {"1.0001"}).quietPeriod == 1001ms);
        CPPUNIT_ASSERT(period(503, {"0"}).quietPeriod == 0ms);
        CPPUNIT_ASSERT(period(503, {"2", "5", "3"}).quietPeriod == 5s);
        CPPUNIT_ASSERT(period(503, {"299.9995"}).quietPeriod == 300s);
        for (const char *large : {"301", "1000000000", "99999999999999999999"})
            CPPUNIT_ASSERT(period(503, {large}).quietPeriod == upstream_notices::maxQuietPeriod);
        for (const char *invalid : {"", "-1", "+1", "1e9", "NaN", "inf", ".5", "5.", "1.2.3", "0x4",
                                    "4 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            const notice_fields fields = period(503, {invalid});
            CPPUNIT_ASSERT_MESSAGE(invalid, !fields.quietPeriod && fields.hasIgnoredValue);
        }
        for (const int status : {200, 421, 429, 500, 502, 504})
            CPPUNIT_ASSERT(!period(status, {"4"}).quietPeriod);

        const auto leaving = [](const std::vector<std::string> &values) {
            http_fields fields;
            for (const std::string &value : values)
                fields.emplace_back(headerNames.leaving, value);
            return parseNoticeFields(responseHead(200, fields), headerNames);
        };
        CPPUNIT_ASSERT(leaving({"1"}).isLeaving && !leaving({"1"}).hasIgnoredValue);
        CPPUNIT_ASSERT(leaving({"1", "1"}).isLeaving);
        CPPUNIT_ASSERT(leaving({"0", "1"}).isLeaving);
        for (const char *invalid : {"", "0", "2", "true", "11"})
            CPPUNIT_ASSERT(!leaving({invalid}).isLeaving && leaving({invalid}).hasIgnoredValue);
        CPPUNIT_ASSERT(!leaving({}).isLeaving && !leaving({}).hasIgnoredValue);
    }

    // Guards against values that stop all requests, overflow, or end a limit that still holds.
    void decodesRequestLimits()
    {
        const auto limit = [](int status, const std::vector<std::string> &values) {
            http_fields fields;
            for (const std::string &value : values)
                fields.emplace_back("buckthorn-request-limit", value);
            return parseNoticeFields(responseHead(status, fields), headerNames);
        };
        for (const int status : {200, 404, 421, 429, 500, 502, 503})
            CPPUNIT_ASSERT_EQUAL(2.5, limit(status, {"2.5"}).requestLimit.value());
        CPPUNIT_ASSERT_EQUAL(0.0, limit(200, {"0"}).requestLimit.value());
        CPPUNIT_ASSERT_EQUAL(0.25, limit(200, {"0.25"}).requestLimit.value());
        CPPUNIT_ASSERT_EQUAL(3.0, limit(200, {"7", "3", "x", "4.5"}).requestLimit.value());
        for (const std::string &large :
             {std::string("1000001"), std::string("99999999999999999999"), std::string(400, '9')})
            CPPUNIT_ASSERT_EQUAL(upstream_notices::maxRequestLimit,
                                 limit(200, {large}).requestLimit.value());
        for (const char *invalid : {"", "-1", "-0", "+1", "1e9", "NaN", "nan", "inf", ".5", "5.",
                                    "1.2.3", "0x4", "4/s", "4 ", "1,5"}) {
            const notice_fields fields = limit(200, {invalid});
            CPPUNIT_ASSERT_MESSAGE(invalid, !fields.requestLimit && fields.hasIgnoredValue);
            CPPUNIT_ASSERT(fields.hasRequestLimitField);
        }
        CPPUNIT_ASSERT(!limit(200, {}).requestLimit && !limit(200, {}).hasRequestLimitField);
    }

    // Guards against notices that are lost or kept too long in any order of responses. The
    // reference keeps every notice and searches them.
    void noticesFollowReference()
    {
        for (std::uint32_t seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            upstream_notices notices;
            bool hasLeft = false;
            std::vector<std::pair<steady_time, steady_time>> quiet; // from, until
            std::vector<steady_time> responses;
            steady_time now{};
            for (int step = 0; step < 200; ++step) {
                now += std::chrono::milliseconds(random() % 700);
                switch (random() % 8) {
                case 0:
                    CPPUNIT_ASSERT_EQUAL(!hasLeft, notices.recordLeaving());
                    hasLeft = true;
                    break;
                case 1: {
                    const std::chrono::milliseconds period(random() % 3'000);
                    notices.recordQuiet(now, period);
                    quiet.emplace_back(now, now + period);
                    break;
                }
                case 2:
                    notices.recordResponse(now);
                    responses.push_back(now);
                    break;
                default:
                    break;
                }
                const bool isQuiet = std::ranges::any_of(
                    quiet, [&](const auto &period) { return now < period.second; });
                // A response counts if no period that was known when it came lasted longer.
                const bool hasResponded
                    = !quiet.empty() && std::ranges::any_of(responses, [&](steady_time at) {
                          return std::ranges::all_of(quiet, [&](const auto &period) {
                              return at >= period.first && at >= period.second;
                          });
                      });
                CPPUNIT_ASSERT_EQUAL(hasLeft, notices.isLeaving());
                CPPUNIT_ASSERT_EQUAL(isQuiet, notices.isQuiet(now));
                CPPUNIT_ASSERT_EQUAL(!quiet.empty() && !isQuiet && !hasResponded,
                                     notices.isReturning(now));
            }
        }
    }

    // Guards against requests to an upstream that said in a response of any status that it leaves,
    // while the list still calls it ready.
    void leavingUpstreamGetsNoFurtherRequests()
    {
        for (const int status : {200, 404, 500, 503, 429, 421}) {
            const scripted_server::script leaves = [status](const std::string &request) {
                return scripted_answer{scriptedResponse(status,
                                                        signedEcho(request) + headerNames.upstreamId
                                                            + ": u0\r\n" + leavingField(),
                                                        "")};
            };
            proxy_fixture system({leaves, answerOk});
            waitUntil("the leaving upstream has responded", [&] {
                system.send("/safe/x");
                return !system.upstreams[0]->requests().empty();
            });
            const std::size_t before = system.upstreams[0]->requests().size();
            for (int i = 0; i < 30; ++i)
                CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x", "id", {}, "object").status);
            CPPUNIT_ASSERT_EQUAL(before, system.upstreams[0]->requests().size());
        }
    }

    // Guards against waiting for the end of a long response before the notice in its head counts.
    void leavingCountsFromTheHead()
    {
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{"HTTP/1.1 200 OK\r\n" + echo(request) + leavingField()
                                   + "Content-Length: 100\r\n\r\nthe first part"};
        }});
        std::thread caller([&] { system.send("/short/x", "first", "claim"); });
        waitUntil("the notice counts", [&] { return system.send("/safe/x").status == 503; });
        caller.join();
        CPPUNIT_ASSERT(system.arrivals() <= 2);
    }

    // Guards against an upstream that gets requests again because its entry was missing in one
    // reading of the list, or because of an evacuation or a new document.
    void leavingOutlastsReadingsOfTheList()
    {
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{scriptedResponse(200, signedEcho(request) + leavingField(), "")};
        }});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        listed_upstream entry;
        system.apply([&](upstream_listing &listing) {
            entry = listing.upstreams[0];
            listing.upstreams.clear();
        });
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
        system.apply([&](upstream_listing &listing) { listing.upstreams = {entry}; });
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
        system.thread().call([&] {
            system.proxy().setEvacuated({"d"}, false);
            system.proxy().setEvacuated({}, false);
        });
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system.arrivals());
    }

    // Guards against a notice that stays with an id, or with an address, when another process has
    // it.
    void restartedUpstreamIsUsedAgain()
    {
        std::atomic<bool> leaves = true;
        proxy_fixture system({[&](const std::string &request) {
            return scripted_answer{
                scriptedResponse(200, signedEcho(request) + (leaves ? leavingField() : ""), "")};
        }});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        CPPUNIT_ASSERT_EQUAL(503, system.send("/safe/x").status);
        leaves = false;
        system.apply([](upstream_listing &listing) { ++listing.upstreams[0].startedMs; });
        waitUntil("the next process serves", [&] { return system.send("/safe/x").status == 200; });
    }

    // Guards against a notice of the process that has an address now for the one that is listed.
    void responseOfAnotherProcessIsIgnored()
    {
        proxy_fixture system({[](const std::string &request) {
            return scripted_answer{scriptedResponse(
                200, signedEcho(request) + headerNames.upstreamId + ": other\r\n" + leavingField(),
                "")};
        }});
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
        CPPUNIT_ASSERT_EQUAL(200, system.send("/safe/x").status);
    }

    // Guards against requests that were chosen before the notice and are sent after it, because
    // they wait for a connection.
    void unsentRequestsAreWithdrawn()
    {
        for (int run = 0; run < 20; ++run) {
            std::atomic<int> answered = 0;
            const scripted_server::script leaves = [&](const std::string &request) {
                ++answered;
                return scripted_answer{
                    scriptedResponse(200, signedEcho(request) + leavingField(), "")};
            };
            proxy_fixture system({leaves, answerOk});
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
            const std::size_t before = system.upstreams[0]->requests().size();
            for (int i = 0; i < 5; ++i)
                CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
            CPPUNIT_ASSERT(answered == 0 || before == system.upstreams[0]->requests().size());
        }
    }

    // Guards against requests to an upstream that asked for none, and against one that gets none
    // after that time although it would serve them.
    void quietUpstreamGetsNothingAndComesBack()
    {
        std::atomic<bool> refuses = true;
        const scripted_server::script quiet = [&](const std::string &request) {
            return refuses ? refuseFor(request, "1.5") : answerOk(request);
        };
        proxy_fixture system({quiet, answerOk, answerOk});
        waitUntil("it has rejected a request", [&] {
            CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
            return !system.upstreams[0]->requests().empty();
        });
        const auto rejectedAt = std::chrono::steady_clock::now();
        refuses = false;
        const std::size_t before = system.upstreams[0]->requests().size();
        waitUntil("it serves again", [&] {
            const auto sentAt = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_EQUAL(200, system.send("/once/x", "id", "claim").status);
            if (system.upstreams[0]->requests().size() == before)
                return false;
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - rejectedAt > 1400ms);
            CPPUNIT_ASSERT(sentAt - rejectedAt < 10s);
            return true;
        });
    }

    // Guards against a later, shorter Retry-After that ends an earlier period too soon. The
    // responses to requests that were sent together name different periods.
    void eachQuietPeriodIsKept()
    {
        upstream_notices notices;
        const steady_time start{};
        notices.recordQuiet(start, 60s);
        notices.recordQuiet(start + 1s, 1s);
        CPPUNIT_ASSERT(notices.isQuiet(start + 59s));
        CPPUNIT_ASSERT(!notices.isQuiet(start + 60s));
        notices.recordQuiet(start + 60s, 10s);
        CPPUNIT_ASSERT(notices.isQuiet(start + 69s));
        notices.recordQuiet(start + 65s, 10s);
        CPPUNIT_ASSERT(notices.isQuiet(start + 74s));
        CPPUNIT_ASSERT(!notices.isQuiet(start + 75s));
    }

    // Guards against requests that wait for their deadline, or are tried again and again, while no
    // upstream of their service takes any, and against a Retry-After before one does.
    void allQuietIsRejectedAtOnce()
    {
        const scripted_server::script quiet
            = [](const std::string &request) { return refuseFor(request, "7"); };
        proxy_fixture system({quiet, quiet});
        system.send("/once/x", "id", "claim");
        const std::size_t before = system.arrivals();
        const auto start = std::chrono::steady_clock::now();
        const http_response response = system.send("/once/x", "id-2", "claim");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 5s);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        const double retryAfter = std::stod(response.header("retry-after"));
        CPPUNIT_ASSERT(retryAfter > 1 && retryAfter <= 7);
        CPPUNIT_ASSERT_EQUAL(before, system.arrivals());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_notices_test);
