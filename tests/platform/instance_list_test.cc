#include "control/control_state.h"
#include "platform/instance_list.h"
#include "testing/malformed_heads.h"
#include "testing/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

std::string pageOf(const std::string &id, const std::string &domain, const std::string &next)
{
    const std::string body = fmt::format(
        R"({{"instances":{{"{}":{{"service":"s","address":"10.0.0.1:80","zone":"{}","version":"v1",)"
        R"("slots":9,"state":"ready","cold_remaining":"0ms"}}}},"next_token":{}}})",
        id, domain, next.empty() ? "null" : '"' + next + '"');
    return fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        body.size(), body);
}

std::string targetOf(const std::string &request)
{
    return request.substr(4, request.find(' ', 4) - 4);
}

} // namespace

class instance_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_list_test);
    CPPUNIT_TEST(followsPages);
    CPPUNIT_TEST(readsFailureDomainsConcurrently);
    CPPUNIT_TEST(failureInOneDomainFailsTheRead);
    CPPUNIT_TEST(unresponsiveListFailsTheRead);
    CPPUNIT_TEST(pageEndedByResetFailsTheRead);
    CPPUNIT_TEST(pageWithMalformedHeadFailsTheRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void followsPages()
    {
        serve({{"/instances", {pageOf("a", "x", "p 1&")}},
               {"/instances?page_token=p%201%26", {pageOf("b", "y", "")}}});
        read({});
        CPPUNIT_ASSERT_EQUAL(std::string("a b"), fmt::format("{}", fmt::join(m_ids, " ")));
    }

    // Guards against reading failure domains one after another. The response for the first domain
    // is delayed, so that the second domain must arrive before it.
    void readsFailureDomainsConcurrently()
    {
        serve({{"/instances?zone=x", {pageOf("a", "x", "p1"), false, false, 300ms}},
               {"/instances?zone=x&page_token=p1", {pageOf("b", "x", "")}},
               {"/instances?zone=y", {pageOf("c", "y", "")}}});
        read({"x", "y"});
        CPPUNIT_ASSERT_EQUAL(std::string("c a b"), fmt::format("{}", fmt::join(m_ids, " ")));
    }

    void failureInOneDomainFailsTheRead()
    {
        serve({{"/instances?zone=x", {pageOf("a", "x", "")}},
               {"/instances?zone=y",
                {"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"}}});
        CPPUNIT_ASSERT_THROW(read({"x", "y"}), control_error);
    }

    void unresponsiveListFailsTheRead()
    {
        serve({{"/instances", {""}}});
        CPPUNIT_ASSERT_THROW(read({}), control_error);
    }

    // Guards against taking a page without a length for complete that was reset on the way.
    void pageEndedByResetFailsTheRead()
    {
        const std::string page = pageOf("a", "x", "");
        const std::string unframed = "HTTP/1.1 200 OK\r\n" + page.substr(page.find("\r\n\r\n") + 2);
        serve({{"/instances", {unframed, true, false}},
               {"/instances?zone=x", {unframed, false, true}}});
        read({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_ids.size());
        CPPUNIT_ASSERT_THROW(read({"x"}), control_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_ids.size());
    }

    // Guards against using a page whose head is malformed.
    void pageWithMalformedHeadFailsTheRead()
    {
        const std::string page = pageOf("a", "x", "");
        const std::string afterStatus = page.substr(page.find(" OK\r\n"));
        const std::string fields = page.substr(page.find("\r\n") + 2);
        std::map<std::string, scripted_answer> answers;
        std::vector<std::string> domains;
        const auto add = [&](const std::string &response) {
            domains.push_back(std::to_string(domains.size()));
            answers["/instances?zone=" + domains.back()] = {response};
        };
        for (const std::string &code : malformedStatusCodes())
            add(fmt::format("HTTP/1.1 {}{}", code, afterStatus));
        for (const std::string &line : malformedFieldLines())
            add(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}", line, fields));
        serve(std::move(answers));
        for (const std::string &domain : domains)
            CPPUNIT_ASSERT_THROW_MESSAGE(domain, read({domain}), control_error);
        CPPUNIT_ASSERT(m_ids.empty());
    }

private:
    void serve(std::map<std::string, scripted_answer> answers)
    {
        m_server = std::make_unique<scripted_server>(
            m_loop.loop(), [answers = std::move(answers)](const std::string &request) {
                const auto found = answers.find(targetOf(request));
                return found != answers.end()
                    ? found->second
                    : scripted_answer{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
            });
        m_loop.start();
    }
    void read(const std::vector<std::string> &domains)
    {
        instance_list list(m_server->address(), m_clock, m_events);
        list.read(domains, [this](const upstream_listing &page) {
            for (const listed_upstream &upstream : page.upstreams)
                m_ids.push_back(upstream.id);
        });
    }

    system_clock_source m_clock;
    null_event_log m_events;
    loop_thread m_loop;
    std::unique_ptr<scripted_server> m_server;
    std::vector<std::string> m_ids;

public:
    void tearDown() override
    {
        m_loop.stop();
        m_server.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_list_test);
