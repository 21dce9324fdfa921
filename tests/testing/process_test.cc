#include "testing/process.h"

#include "base/error.h"
#include "testing/free_port.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cerrno>
#include <memory>
#include <set>

using namespace buckthorngrade;

class process_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_test);
    CPPUNIT_TEST(reportsOutputAndCode);
    CPPUNIT_TEST(passesSignals);
    CPPUNIT_TEST(endsWithItsOwner);
    CPPUNIT_TEST(keepsPortsForTheirServers);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsOutputAndCode()
    {
        const process_result result
            = runProcess("/bin/sh", {"-c", "echo out; echo err >&2; exit 3"});
        CPPUNIT_ASSERT_EQUAL(3, result.code);
        CPPUNIT_ASSERT_EQUAL(std::string("out\n"), result.output);
        CPPUNIT_ASSERT_EQUAL(std::string("err\n"), result.errors);
        CPPUNIT_ASSERT_THROW(process("/nonexistent", {}, ""), error);
    }

    void passesSignals()
    {
        const temp_folder folder;
        process child("/bin/sleep", {"1000"}, folder.path() / "errors");
        const auto state = [&] {
            const std::string stat = readWholeFile("/proc/" + std::to_string(child.id()) + "/stat");
            return stat.at(stat.rfind(')') + 2);
        };
        child.signal(SIGSTOP);
        waitUntil("it is stopped", [&] { return state() == 'T'; });
        child.signal(SIGCONT);
        waitUntil("it continues", [&] { return state() == 'S'; });
        child.signal(SIGKILL);
        CPPUNIT_ASSERT(child.waitExit(defaultWaitLimit) == -SIGKILL);
        CPPUNIT_ASSERT_THROW(child.waitForError("text", defaultWaitLimit), error);
    }

    // Guards against processes that outlive a failed test.
    void endsWithItsOwner()
    {
        pid_t id = 0;
        {
            const process child("/bin/sleep", {"1000"}, "");
            id = child.id();
        }
        CPPUNIT_ASSERT(::kill(id, 0) != 0 && errno == ESRCH);
    }

    // Guards against a port that is taken by another process between two starts of a server.
    void keepsPortsForTheirServers()
    {
        std::vector<std::unique_ptr<free_port>> ports;
        std::set<int> numbers;
        for (int i = 0; i < 100; ++i) {
            ports.push_back(std::make_unique<free_port>());
            numbers.insert(ports.back()->number());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), numbers.size());
        for (int start = 0; start < 2; ++start) {
            Poco::Net::ServerSocket server(Poco::Net::SocketAddress(ports.front()->address()));
            CPPUNIT_ASSERT_EQUAL(ports.front()->number(), server.address().port());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_test);
