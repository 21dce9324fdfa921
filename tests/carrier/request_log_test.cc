#include "carrier/request_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace buckthorngrade;

namespace {

class recording_log final : public event_log
{
public:
    std::vector<std::string> lines;

protected:
    bool isEnabled(log_level) const override { return true; }
    void writeLine(std::string_view line) override { lines.emplace_back(line); }
};

} // namespace

class request_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_log_test);
    CPPUNIT_TEST(successesDoNotCrowdOutFailures);
    CPPUNIT_TEST_SUITE_END();

public:
    void successesDoNotCrowdOutFailures()
    {
        recording_log recordedLog;
        request_log log(recordedLog);
        std::uint32_t admitted = 0;
        for (int i = 0; i < 1'000; ++i)
            admitted += log.shouldLog(event_id::request_answered) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(request_log::linesPerSecond, admitted);
        CPPUNIT_ASSERT(log.shouldLog(event_id::request_failed));
        log.reportSuppressed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recordedLog.lines.size());
        CPPUNIT_ASSERT(recordedLog.lines[0].find("event=request_answered lines=980")
                       != std::string::npos);
        CPPUNIT_ASSERT(log.shouldLog(event_id::request_answered));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_log_test);
