#include "carrier/control_client.h"

#include "testing/free_port.h"
#include "testing/scripted_server.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class control_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_client_test);
    CPPUNIT_TEST(refusedConnectionDoesNotReplaceChannel);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against replacing the channel every 200 ms while a control instance is down: gRPC
    // aborted the process after some seconds of that.
    void refusedConnectionDoesNotReplaceChannel()
    {
        const free_port port; // connections to it are refused
        loop_thread thread;
        null_event_log events;
        std::atomic<int> calls = 0;
        {
            control_client client(thread.loop(), port.number(), events,
                                  [](const std::string &, const wire::node_view &) {});
            client.setHosts({"127.0.0.1"});
            thread.loop().runEvery(20ms, [&] {
                client.poll({}, "");
                ++calls;
            });
            thread.start();
            waitUntil("some calls have failed", [&] { return calls >= 50; });
            std::size_t reconnects = 0;
            thread.call([&] { reconnects = client.reconnects(); });
            thread.stop();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reconnects);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_client_test);
