#include "platform/control_api.h"

#include "platform/platform_routing.h"
#include "testing/free_port.h"
#include "testing/http_client.h"
#include "testing/scripted_server.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace buckthorngrade;

namespace {

class empty_list final : public listing_source
{
public:
    void read(const std::vector<std::string> &, const page_handler &onPage) override
    {
        onPage({std::chrono::steady_clock::now(), {}});
    }
};

} // namespace

class control_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_api_test);
    CPPUNIT_TEST(malformedTargetsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a control process that ends because a caller or an operator sends a target
    // that can't be decoded.
    void malformedTargetsAreRejected()
    {
        const free_port port;
        const temp_folder folder;
        node_settings settings;
        settings.name = "control-1";
        settings.host = "127.0.0.1";
        settings.firstInternalPort = port.number();
        settings.seedHosts = {settings.host};
        settings.isFirstStart = true;
        settings.dataFolder = folder.path();
        const platform_routing_codec codec;
        empty_list list;
        const system_clock_source clock;
        null_event_log events;
        metric_registry metrics;
        control_node node(settings, codec, list, clock, events, metrics,
                          [](const std::string &) {});
        waitUntil("it leads", [&] { return node.view().isLeader; });
        loop_thread thread;
        control_api api(thread.loop(), settings, node, clock);
        const http_server orders(
            thread.loop(), {settings.host, 0}, http_server_options(),
            [&](const exchange_pointer &exchange) { api.handleOperatorRequest(exchange); });
        const http_server directory(
            thread.loop(), {settings.host, 0}, http_server_options(),
            [&](const exchange_pointer &exchange) { api.handleDirectoryLookup(exchange); });
        thread.start();
        const auto send
            = [](const http_server &server, const std::string &method, const std::string &path) {
                  http_request request;
                  request.method = method;
                  request.path = path;
                  return exchange(server.address().toString(), request).status;
              };
        for (const std::string part : {"%", "%z", "%zz", "%4", "a%", "%%", "%e"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400,
                                         send(orders, "POST", "/v1/evacuations/" + part));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400,
                                         send(directory, "GET", "/v1/resolve?name=" + part));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 400, send(directory, "GET", "/v1/" + part));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 200, send(orders, "POST", "/v1/evacuations/d"));
            // No entry instance is known.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 503, send(directory, "GET", "/v1/resolve?name=a"));
        }
        thread.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_api_test);
