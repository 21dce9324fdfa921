#include "carrier/entry_node.h"

#include "link/listing_messages.h"
#include "proxy_fixture.h"
#include "testing/free_port.h"
#include "testing/http_connection.h"
#include "testing/wait.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t loopback = 0x7f000001; // 127.0.0.1 as a replica id

// Answers each report with the same view.
class fixed_view_service final : public wire::node_link::Service
{
public:
    explicit fixed_view_service(wire::node_view view)
        : m_view(std::move(view))
    { }
    grpc::Status Sync(grpc::ServerContext *, const wire::node_report *,
                      wire::node_view *view) override
    {
        *view = m_view;
        return grpc::Status::OK;
    }

private:
    const wire::node_view m_view;
};

// Answers each report with the view that was set last, and counts the reports.
class changing_view_service final : public wire::node_link::Service
{
public:
    void setView(const wire::node_view &view)
    {
        const std::lock_guard lock(m_mutex);
        m_view = view;
    }
    int reports() const { return m_reports; }
    wire::node_report lastReport()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastReport;
    }
    grpc::Status Sync(grpc::ServerContext *, const wire::node_report *report,
                      wire::node_view *view) override
    {
        const std::lock_guard lock(m_mutex);
        *view = m_view;
        m_lastReport = *report;
        ++m_reports;
        return grpc::Status::OK;
    }

private:
    std::mutex m_mutex;
    wire::node_view m_view;
    wire::node_report m_lastReport;
    std::atomic<int> m_reports = 0;
};

std::unique_ptr<grpc::Server> serveViews(wire::node_link::Service &service,
                                         const std::string &address)
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&service);
    return builder.BuildAndStart();
}

class fixed_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view) const override
    {
        routing_document document;
        document.version = 1;
        document.routes = {routeFor("/safe/", request_kind::idempotent),
                           routeFor("/once/", request_kind::non_idempotent)};
        document.services = {{"s", "/health", 100, 3s, 1}};
        return document;
    }
    routing_document decodeNew(std::string_view text) const override { return decode(text); }
};

// Settings of an entry instance whose control instance listens on `controlPort`.
node_settings settingsWith(const free_port &entryPort, const free_port &readyPort,
                           const free_port &controlPort)
{
    node_settings result = nodeSettings();
    result.entryAddress = entryPort.address();
    result.readyAddress = readyPort.address();
    result.firstInternalPort = controlPort.number();
    result.seedHosts = {"127.0.0.1"};
    return result;
}

// Decodes a document that an earlier release accepted: two of its routes are for the same host.
class same_hosts_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view) const override
    {
        routing_document document;
        document.routes = {routeFor("/safe/", request_kind::idempotent),
                           routeFor("/safe/", request_kind::idempotent)};
        document.routes.back().host = "TEST";
        document.services = {{"s", "/health", 100, 3s, 1}};
        return document;
    }
    routing_document decodeNew(std::string_view text) const override { return decode(text); }
};

class warning_counter final : public event_log
{
public:
    explicit warning_counter(std::string event)
        : m_event(std::move(event))
    { }
    int count() const { return m_count; }

protected:
    bool isEnabled(log_level) const override { return true; }
    void writeLine(std::string_view line) override
    {
        if (line.find(m_event) != std::string_view::npos)
            ++m_count;
    }

private:
    const std::string m_event;
    std::atomic<int> m_count = 0;
};

} // namespace

class entry_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_node_test);
    CPPUNIT_TEST(stoppingInstanceAnswersEveryRequestThatItReads);
    CPPUNIT_TEST(stoppingInstanceDeliversItsResponses);
    CPPUNIT_TEST(votersOfInstanceWithoutLeaderAreIgnored);
    CPPUNIT_TEST(routingVersionZeroComesIntoForce);
    CPPUNIT_TEST(documentOfEarlierReleaseComesIntoForce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry instance that turns back to replaced control machines because a
    // control instance that was removed from the group still names them.
    void votersOfInstanceWithoutLeaderAreIgnored()
    {
        constexpr std::uint32_t otherLoopback = 0x7f000002; // 127.0.0.2
        const free_port port;
        changing_view_service current;
        changing_view_service replaced;
        wire::node_view view;
        view.set_replica(loopback);
        view.add_voters(loopback);
        view.set_has_leader(true);
        current.setView(view);
        const auto currentServer = serveViews(current, port.address());
        const auto replacedServer
            = serveViews(replaced, fmt::format("127.0.0.2:{}", port.number()));
        const free_port entryPort;
        const free_port readyPort;
        const node_settings settings = settingsWith(entryPort, readyPort, port);
        const fixed_codec codec;
        null_event_log events;
        metric_registry metrics;
        loop_thread thread;
        auto node = std::make_unique<entry_node>(thread.loop(), settings, headerNames, codec,
                                                 events, metrics);
        thread.start();
        waitUntil("the voters are known", [&] { return current.reports() > 2; });
        view.clear_voters();
        view.add_voters(otherLoopback);
        view.set_has_leader(false);
        current.setView(view);
        const int before = current.reports();
        waitUntil("further reports", [&] { return current.reports() > before + 4; });
        CPPUNIT_ASSERT_EQUAL(0, replaced.reports());
        view.set_has_leader(true);
        current.setView(view);
        waitUntil("the new voter gets reports", [&] { return replaced.reports() > 0; });
        thread.stop();
        node.reset();
        currentServer->Shutdown();
        replacedServer->Shutdown();
    }

    // Guards against an entry instance that never gets ready because it takes version 0 of the
    // routing document for none.
    void routingVersionZeroComesIntoForce()
    {
        const free_port port;
        changing_view_service control;
        wire::node_view view;
        view.set_replica(loopback);
        view.add_voters(loopback);
        view.set_has_leader(true);
        view.set_listing_digest(1);
        encodeUpstream({"u0", "s", "127.0.0.1:1", "d", 1, false, 0ms, 1}, *view.add_upstreams());
        control.setView(view);
        const auto server = serveViews(control, port.address());
        const free_port entryPort;
        const free_port readyPort;
        const node_settings settings = settingsWith(entryPort, readyPort, port);
        const fixed_codec codec;
        null_event_log events;
        metric_registry metrics;
        loop_thread thread;
        auto node = std::make_unique<entry_node>(thread.loop(), settings, headerNames, codec,
                                                 events, metrics);
        thread.start();
        waitUntil("reports without a document", [&] { return control.reports() > 2; });
        CPPUNIT_ASSERT(!control.lastReport().has_routing_version());
        CPPUNIT_ASSERT(!control.lastReport().ready());
        view.set_routing_version(0);
        view.set_routing_text("first");
        control.setView(view);
        waitUntil("version 0 is in force", [&] {
            const wire::node_report report = control.lastReport();
            return report.ready() && report.has_routing_version() && report.routing_version() == 0;
        });
        view.set_routing_version(3);
        view.set_routing_text("second");
        control.setView(view);
        waitUntil("version 3 is in force",
                  [&] { return control.lastReport().routing_version() == 3; });
        thread.stop();
        node.reset();
        server->Shutdown();
    }

    // Guards against an entry instance that gets no document after an update, because the one in
    // force fails a check that the earlier release did not have.
    void documentOfEarlierReleaseComesIntoForce()
    {
        const free_port port;
        changing_view_service control;
        wire::node_view view;
        view.set_replica(loopback);
        view.add_voters(loopback);
        view.set_has_leader(true);
        view.set_listing_digest(1);
        encodeUpstream({"u0", "s", "127.0.0.1:1", "d", 1, false, 0ms, 1}, *view.add_upstreams());
        view.set_routing_version(3);
        view.set_routing_text("document");
        control.setView(view);
        const auto server = serveViews(control, port.address());
        const free_port entryPort;
        const free_port readyPort;
        const node_settings settings = settingsWith(entryPort, readyPort, port);
        const same_hosts_codec codec;
        CPPUNIT_ASSERT_THROW(checkRouting(codec.decode("document")), settings_error);
        warning_counter events("routing_invalid");
        metric_registry metrics;
        loop_thread thread;
        auto node = std::make_unique<entry_node>(thread.loop(), settings, headerNames, codec,
                                                 events, metrics);
        thread.start();
        waitUntil("the document is in force", [&] {
            const wire::node_report report = control.lastReport();
            return report.ready() && report.routing_version() == 3;
        });
        thread.stop();
        node.reset();
        server->Shutdown();
        CPPUNIT_ASSERT_EQUAL(1, events.count());
    }

    // Guards against a planned stop that ends the process while callers still read responses, and
    // against one that waits for a caller that reads nothing for longer than the stop limit.
    void stoppingInstanceDeliversItsResponses()
    {
        const std::string body(12U << 20, 'x'); // more than the kernel's buffers hold
        loop_thread thread;
        scripted_server upstream(thread.loop(), [&](const std::string &request) {
            return scripted_answer{
                scriptedResponse(200, echo(request) + headerNames.seal + ": s\r\n", body)};
        });
        wire::node_view view;
        view.set_replica(loopback);
        view.add_voters(loopback);
        view.set_has_leader(true);
        view.set_routing_version(1);
        view.set_routing_text("document");
        view.set_listing_digest(1);
        encodeUpstream({"u0", "s", upstream.address(), "d", 1'000, false, 0ms, 1},
                       *view.add_upstreams());
        fixed_view_service control(view);
        const free_port controlPort;
        const std::unique_ptr<grpc::Server> server = serveViews(control, controlPort.address());
        const fixed_codec codec;
        null_event_log events;
        metric_registry metrics;
        loop_thread nodes;
        std::vector<std::unique_ptr<entry_node>> started;
        const free_port ports[4];
        const auto start = [&](const free_port &entryPort, const free_port &readyPort) {
            node_settings settings = settingsWith(entryPort, readyPort, controlPort);
            settings.stopLimit = 6s;
            settings.linkBytesPerSecond = 125e6;
            started.push_back(std::make_unique<entry_node>(nodes.loop(), settings, headerNames,
                                                           codec, events, metrics));
        };
        start(ports[0], ports[1]);
        start(ports[2], ports[3]);
        thread.start();
        nodes.start();
        waitUntil("the instances are ready", [&] {
            bool areReady = false;
            nodes.call([&] { areReady = started[0]->isReady() && started[1]->isReady(); });
            return areReady;
        });
        const auto requestFrom = [&](const free_port &port, const std::string &id) {
            http_connection connection(
                Poco::Net::StreamSocket(Poco::Net::SocketAddress(port.address())));
            connection.send(fmt::format("GET /safe/x HTTP/1.1\r\nHost: test\r\n{}: {}\r\n\r\n",
                                        headerNames.requestId, id));
            return connection;
        };
        http_connection reader = requestFrom(ports[0], "id-1");
        http_connection stalled = requestFrom(ports[2], "id-2");
        waitUntil("the responses are under way", [&] { return upstream.requests().size() == 2; });
        std::atomic<bool> haveStopped[2] = {false, false};
        const auto stoppedAt = std::chrono::steady_clock::now();
        nodes.call([&] {
            started[0]->stop([&] { haveStopped[0] = true; });
            started[1]->stop([&] { haveStopped[1] = true; });
        });
        waitUntil("new requests are rejected",
                  [&] { return std::chrono::steady_clock::now() - stoppedAt > 3'500ms; });
        CPPUNIT_ASSERT(!haveStopped[0] && !haveStopped[1]);
        Poco::Net::HTTPResponse head;
        CPPUNIT_ASSERT(reader.readHead(head));
        std::string received;
        CPPUNIT_ASSERT(reader.readBody(head, [&](std::string_view part) { received += part; }));
        CPPUNIT_ASSERT(received == body);
        waitUntil("the instance with a caller that reads has stopped",
                  [&] { return haveStopped[0].load(); });
        waitUntil("the other one has stopped", [&] { return haveStopped[1].load(); });
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stoppedAt < 6s);
        nodes.stop();
        thread.stop();
        started.clear();
        server->Shutdown();
    }

    // Guards against a planned stop that takes requests late in its grace period, forwards them,
    // and closes their connections without a response when the period ends.
    void stoppingInstanceAnswersEveryRequestThatItReads()
    {
        loop_thread thread;
        constexpr auto workTime = 400ms;
        scripted_server upstream(thread.loop(), [&](const std::string &request) {
            scripted_answer answer = answerOk(request);
            answer.delay = workTime;
            return answer;
        });
        wire::node_view view;
        view.set_replica(loopback);
        view.add_voters(loopback);
        view.set_has_leader(true);
        view.set_routing_version(1);
        view.set_routing_text("document");
        view.set_listing_digest(1);
        encodeUpstream({"u0", "s", upstream.address(), "d", 1'000, false, 0ms, 1},
                       *view.add_upstreams());
        wire::node_entry &self = *view.add_entries();
        self.set_instance("entry-1");
        self.set_region("r");
        fixed_view_service control(view);
        const free_port controlPort;
        const std::unique_ptr<grpc::Server> server = serveViews(control, controlPort.address());

        const free_port entryPort;
        const free_port readyPort;
        node_settings settings = settingsWith(entryPort, readyPort, controlPort);
        settings.stopLimit = 6s;
        settings.linkBytesPerSecond = 125e6;
        const fixed_codec codec;
        null_event_log events;
        metric_registry metrics;
        auto node = std::make_unique<entry_node>(thread.loop(), settings, headerNames, codec,
                                                 events, metrics);
        thread.start();
        waitUntil("the instance is ready", [&] {
            bool isReady = false;
            thread.call([&] { isReady = node->isReady(); });
            return isReady;
        });

        // Callers go on with open connections and open new ones until the process has stopped.
        std::atomic<bool> hasStopped = false;
        std::atomic<int> ok = 0;
        std::atomic<int> rejected = 0;
        std::atomic<int> unanswered = 0;
        std::vector<std::thread> callers;
        constexpr int callerCount = 8;
        callers.reserve(callerCount);
        for (int caller = 0; caller < callerCount; ++caller)
            callers.emplace_back([&, caller] {
                for (int i = 0; !hasStopped; ++i) {
                    bool isSent = false;
                    try {
                        http_connection connection(
                            Poco::Net::StreamSocket(Poco::Net::SocketAddress(entryPort.address())));
                        connection.send(
                            fmt::format("POST /once/x HTTP/1.1\r\nHost: test\r\n{}: id-{}-{}\r\n"
                                        "Content-Length: 1\r\n\r\nx",
                                        headerNames.requestId, caller, i));
                        isSent = true;
                        Poco::Net::HTTPResponse response;
                        if (!connection.readHead(response)) {
                            unanswered += hasStopped ? 0 : 1;
                            continue;
                        }
                        ++(response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? ok
                                                                                    : rejected);
                    } catch (const Poco::Exception &) {
                        // A refused connection is not a request that was read.
                        unanswered += isSent && !hasStopped ? 1 : 0;
                        std::this_thread::sleep_for(10ms);
                    }
                }
            });
        waitUntil("requests are answered", [&] { return ok > callerCount; });
        thread.call([&] { node->stop([&] { hasStopped = true; }); });
        waitUntil("the instance has stopped", [&] { return hasStopped.load(); });
        std::ranges::for_each(callers, &std::thread::join);
        thread.stop();
        node.reset();
        server->Shutdown();
        CPPUNIT_ASSERT_EQUAL(0, unanswered.load());
        // Requests that were forwarded and not answered would be among those of the upstream.
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(ok.load()), upstream.requests().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_node_test);
