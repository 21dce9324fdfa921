#include "entry/decision_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace buckthorngrade;

namespace {

class fixed_clock final : public clock_source
{
public:
    steady_time now() const override { return steady; }
    wall_time wallNow() const override { return {}; }
    steady_time steady{std::chrono::seconds(100)};
};

} // namespace

class decision_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_log_test);
    CPPUNIT_TEST(loadDoesNotEvictRefusals);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(ordinaryDecisionsAreSampledAndCounted);
    CPPUNIT_TEST_SUITE_END();

    fixed_clock m_clock;

    static decision_record record(const std::string &id, decision_kind kind,
                                  std::string_view rule = "rule")
    {
        decision_record result;
        result.id = id;
        result.kind = kind;
        result.setRule(rule);
        return result;
    }

public:
    void loadDoesNotEvictRefusals()
    {
        decision_log log("entry-1", m_clock, {.records = 10});
        const std::string refusal = log.nextId();
        log.add(record(refusal, decision_kind::refusal, "queue-full"));
        std::string last;
        for (int i = 0; i < 100; ++i) {
            last = log.nextId();
            log.add(record(last, decision_kind::selection));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.find(refusal).size());
        CPPUNIT_ASSERT(log.find(refusal)[0].find("queue-full") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.find(last).size());
        CPPUNIT_ASSERT(log.find("entry-1-2").empty());
        CPPUNIT_ASSERT(log.find("entry-2-1").empty());
        CPPUNIT_ASSERT(log.find("nonsense").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), log.size());
    }

    void memoryIsBounded()
    {
        decision_log log("e", m_clock, {.records = 1000, .bytes = 10'000});
        for (int i = 0; i < 1000; ++i) {
            auto item = record(log.nextId(), decision_kind::refusal);
            for (int input = 0; input < 100; ++input)
                item.addInput("name", std::string(1000, 'x'));
            log.add(item);
            CPPUNIT_ASSERT(log.bytes() <= 10'000);
        }
        for (int i = 0; i < 2000; ++i)
            log.count(decision_kind::lookup, fmt::format("rule {}", i));
        CPPUNIT_ASSERT(log.counts().size() <= 256);
    }

    void ordinaryDecisionsAreSampledAndCounted()
    {
        decision_log log("e", m_clock, {.ordinaryPerSecond = 3});
        int admitted = 0;
        for (int i = 0; i < 10; ++i)
            admitted += log.admitOrdinary() ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, admitted);
        m_clock.steady += std::chrono::seconds(1);
        CPPUNIT_ASSERT(log.admitOrdinary());
        log.count(decision_kind::lookup, "nearest");
        log.count(decision_kind::lookup, "nearest");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), log.counts().at(0).decisions);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);
