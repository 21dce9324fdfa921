#include "base/stdout_event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <array>
#include <string>

using namespace buckthorngrade;

namespace {

// A pipe that is read only when the test calls readSome().
class test_pipe
{
public:
    test_pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_ends.data())); }
    ~test_pipe()
    {
        closeReader();
        ::close(m_ends[1]);
    }
    test_pipe(const test_pipe &) = delete;
    test_pipe &operator=(const test_pipe &) = delete;

    int writer() const { return m_ends[1]; }
    void closeReader()
    {
        if (m_ends[0] >= 0)
            ::close(m_ends[0]);
        m_ends[0] = -1;
    }
    std::string readSome()
    {
        std::string result(1U << 20, '\0');
        const auto count = ::read(m_ends[0], result.data(), result.size());
        result.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return result;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

void writeLines(event_log &log, int count)
{
    for (int i = 0; i < count; ++i)
        log.write(event_id::process_started, {{"n", i}, {"text", std::string(200, 'x')}});
}

} // namespace

class stdout_event_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stdout_event_log_test);
    CPPUNIT_TEST(dropsLinesInsteadOfBlockingOnStalledReader);
    CPPUNIT_TEST(toleratesClosedReader);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a logging call that blocks because the log's reader has stalled, and against
    // dropping lines without reporting it.
    void dropsLinesInsteadOfBlockingOnStalledReader()
    {
        test_pipe pipe;
        stdout_event_log log("entry-1", log_level::info, pipe.writer());
        writeLines(log, 10'000);
        CPPUNIT_ASSERT(log.dropped() > 0);
        std::string text;
        for (int i = 0; i < 20; ++i) {
            text += pipe.readSome();
            writeLines(log, 1);
        }
        CPPUNIT_ASSERT(text.find("n=0 ") != std::string::npos);
        CPPUNIT_ASSERT(text.find("log lines dropped: ") != std::string::npos);
        CPPUNIT_ASSERT(text.find("instance=entry-1\n") != std::string::npos);
    }

    void toleratesClosedReader()
    {
        test_pipe pipe;
        stdout_event_log log("entry-1", log_level::info, pipe.writer());
        pipe.closeReader();
        writeLines(log, 10'000);
        CPPUNIT_ASSERT(log.dropped() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stdout_event_log_test);
