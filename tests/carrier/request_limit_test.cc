#include "proxy_fixture.h"
#include "steering/upstream_notices.h"
#include "testing/sliding_window.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
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
            return scripted_answer{scriptedResponse(200, echo(request) + field, "done")};
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
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending a limited upstream what its load and slots alone permit, and against
    // taking a limit for a ban.
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
        CPPUNIT_ASSERT(limited.count() >= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_limit_test);
