#include "agreement/local_replicator.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/control_state.h"
#include "control/edit_service.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <chrono>

using namespace buckthorngrade;

class edit_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edit_service_test);
    CPPUNIT_TEST(keepsMalformedTextOutOfTheLog);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a committed edit that the instances can't parse when they apply it. Protobuf
    // serializes malformed UTF-8 and rejects it when parsing; found by fuzzing.
    void keepsMalformedTextOutOfTheLog()
    {
        control_state state;
        local_replicator log(state);
        const system_clock_source clock;
        null_event_log events;
        metric_registry metrics;
        edit_service edits(log, clock, events, metrics);
        wire::edit edit;
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock.wallNow().time_since_epoch());
        edit.set_request_id(fmt::format("{}-a", now.count()));
        edit.set_operator_name("M\xc4");
        edit.mutable_drain()->set_kind(wire::TARGET_UPSTREAM);
        edit.mutable_drain()->set_target("u1");
        const command_result rejected = edits.submitEdit(edit);
        CPPUNIT_ASSERT_EQUAL(wire::EDIT_INVALID, rejected.applied.edit().status());
        CPPUNIT_ASSERT_EQUAL(log_index{0}, log.view().commitIndex);
        edit.set_operator_name("M\xc4\x81ori");
        CPPUNIT_ASSERT_EQUAL(wire::EDIT_ACCEPTED, edits.submitEdit(edit).applied.edit().status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edit_service_test);
