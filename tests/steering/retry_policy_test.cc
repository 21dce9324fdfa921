#include "steering/retry_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr auto points = {failure_point::no_capacity,
                         failure_point::connect_failed,
                         failure_point::reused_connection_unsent,
                         failure_point::sent_no_head,
                         failure_point::shed,
                         failure_point::other_503_or_429,
                         failure_point::body_truncated,
                         failure_point::deadline_unsent,
                         failure_point::deadline_sent};
constexpr auto kinds
    = {request_kind::idempotent, request_kind::non_idempotent, request_kind::keyed};

retry_input input(failure_point point, request_kind kind)
{
    retry_input result;
    result.point = point;
    result.kind = kind;
    result.deadlineLeft = 1s;
    return result;
}

// Returns the decision as "action outcome status key".
std::string summary(const retry_input &given)
{
    const retry_decision decision = decideRetry(given);
    constexpr std::array keys = {"keep", "withdraw", "record", "record-unknown"};
    return fmt::format("{} {} {} {}", toString(decision.action), toString(decision.outcome),
                       decision.status, keys[static_cast<std::size_t>(decision.key)]);
}

bool mayHaveRun(failure_point point)
{
    return point == failure_point::sent_no_head || point == failure_point::other_503_or_429
        || point == failure_point::body_truncated || point == failure_point::deadline_sent;
}

} // namespace

class retry_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(followsTheTable);
    CPPUNIT_TEST(neverReportsNotRunWrongly);
    CPPUNIT_TEST(retriesStayWithinShareInEveryWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong decision for a failure point and a kind of request.
    void followsTheTable()
    {
        const auto expect = [](failure_point point, const std::string &idempotent,
                               const std::string &plain, const std::string &keyed) {
            const std::string name(toString(point));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, idempotent,
                                         summary(input(point, request_kind::idempotent)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, plain,
                                         summary(input(point, request_kind::non_idempotent)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, keyed, summary(input(point, request_kind::keyed)));
        };
        const std::string retry = "retry not-run 0 keep";
        expect(failure_point::no_capacity, "refuse not-run 503 keep", "refuse not-run 503 keep",
               "refuse not-run 503 withdraw");
        expect(failure_point::connect_failed, retry, retry, retry);
        expect(failure_point::reused_connection_unsent, retry, retry, retry);
        expect(failure_point::sent_no_head, retry, "refuse unknown 502 keep",
               "refuse unknown 502 record-unknown");
        expect(failure_point::shed, retry, retry, retry);
        expect(failure_point::other_503_or_429, retry, "pass-on ran 0 keep",
               "pass-on ran 0 record");
        expect(failure_point::body_truncated, "close unknown 0 keep", "close unknown 0 keep",
               "close unknown 0 record-unknown");
        expect(failure_point::deadline_unsent, "refuse not-run 504 keep", "refuse not-run 504 keep",
               "refuse not-run 504 withdraw");
        expect(failure_point::deadline_sent, "refuse unknown 504 keep", "refuse unknown 504 keep",
               "refuse unknown 504 record-unknown");
    }

    // Guards against reporting not-run for a request that may have run, after which the caller
    // would send it again, and against retrying a request that must not be repeated. Tests all
    // combinations of inputs.
    void neverReportsNotRunWrongly()
    {
        std::size_t retries = 0;
        for (const failure_point point : points) {
            for (const request_kind kind : kinds) {
                for (unsigned bits = 0; bits < 64; ++bits) {
                    retry_input given = input(point, kind);
                    given.bodyReplayable = (bits & 1U) != 0;
                    given.deadlineLeft = (bits & 2U) != 0 ? 1s : 0s;
                    given.retriesDone = (bits & 4U) != 0 ? 2 : 1;
                    given.budgetAvailable = (bits & 8U) != 0;
                    given.alternativeAvailable = (bits & 16U) != 0;
                    given.earlierAttemptUnknown = (bits & 32U) != 0;
                    decision_record record;
                    const retry_decision decision = decideRetry(given, &record);
                    CPPUNIT_ASSERT_EQUAL(std::string(decision.rule), record.rule());
                    if (decision.action == retry_action::retry) {
                        ++retries;
                        CPPUNIT_ASSERT((bits & 31U) == (1U | 2U | 8U | 16U));
                        CPPUNIT_ASSERT(kind == request_kind::idempotent || !mayHaveRun(point));
                        continue;
                    }
                    if (decision.outcome == request_outcome::not_run) {
                        CPPUNIT_ASSERT(!mayHaveRun(point) && !given.earlierAttemptUnknown);
                        CPPUNIT_ASSERT(kind != request_kind::keyed
                                       || decision.key == key_action::withdraw);
                    } else {
                        CPPUNIT_ASSERT(decision.key != key_action::withdraw);
                    }
                }
            }
        }
        CPPUNIT_ASSERT(retries > 0);
    }

    // Guards against retries that add to an overload. Checks every window that ends at a retry.
    void retriesStayWithinShareInEveryWindow()
    {
        std::size_t granted = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            std::mt19937_64 random(seed);
            const double share = std::array{0.0, 0.02, 0.1, 0.5}[seed % 4];
            const auto pace = std::array{2, 30, 400}[seed % 3];
            retry_budget budget;
            std::vector<steady_time> firsts;
            std::vector<steady_time> retries;
            steady_time now(1000s);
            for (int i = 0; i < 3000; ++i) {
                now += std::chrono::milliseconds(random() % pace);
                if (random() % 1000 == 0)
                    now += 7s;
                budget.recordFirstAttempt(now);
                firsts.push_back(now);
                if (random() % 2 == 0 && budget.tryRetry(share, now)) {
                    retries.push_back(now);
                    ++granted;
                    const auto recent = [&](const std::vector<steady_time> &times) {
                        return std::ranges::count_if(
                            times, [&](steady_time at) { return now - at < retry_budget::window; });
                    };
                    const double allowed = std::max<double>(retry_budget::minRetriesPerWindow,
                                                            share * recent(firsts));
                    CPPUNIT_ASSERT(static_cast<double>(recent(retries)) <= allowed);
                }
            }
            CPPUNIT_ASSERT(share > 0 || retries.empty());
        }
        CPPUNIT_ASSERT(granted > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);
