#include "control/grpc_peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr auto waitTimeout = 60s;

bool waitFor(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

// A gRPC server with a grpc_peer_service that stores the received payloads.
class test_receiver
{
public:
    // Port 0 selects a free port.
    test_receiver(replica_id self, int port)
        : m_service(
            "c", self, [this](replica_id, std::string bytes) { add(std::move(bytes)); }, m_events)
    {
        grpc::ServerBuilder builder;
        builder.SetMaxReceiveMessageSize(maxPeerMessageBytes);
        builder.AddListeningPort(fmt::format("127.0.0.1:{}", port),
                                 grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
    }
    ~test_receiver()
    {
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now());
    }
    test_receiver(const test_receiver &) = delete;
    test_receiver &operator=(const test_receiver &) = delete;

    bool isListening() const { return m_server && m_port != 0; }
    int port() const { return m_port; }
    bool has(const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        return m_received.contains(bytes);
    }
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_received.size();
    }

private:
    void add(std::string bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_received.insert(std::move(bytes));
    }

    null_event_log m_events;
    std::mutex m_mutex;
    std::set<std::string> m_received;
    grpc_peer_service m_service;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

class connection_counter final : public event_log
{
public:
    std::atomic<int> connections = 0;

protected:
    bool isEnabled(log_level) const override { return true; }
    void writeLine(std::string_view line) override
    {
        if (line.find("peer_connected") != std::string_view::npos)
            ++connections;
    }
};

grpc_peer_transport::settings settingsFor(const std::string &cluster, int port)
{
    grpc_peer_transport::settings settings;
    settings.cluster = cluster;
    settings.self = 1;
    settings.addresses = {{1, "127.0.0.1:1"}, {2, fmt::format("127.0.0.1:{}", port)}};
    settings.initialRetryDelay = 10ms;
    settings.maxRetryDelay = 50ms;
    return settings;
}

} // namespace

class grpc_peer_transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(grpc_peer_transport_test);
    CPPUNIT_TEST(deliversAndBoundsMessages);
    CPPUNIT_TEST(connectsBeforeTheFirstMessage);
    CPPUNIT_TEST(reconnectsAfterRestart);
    CPPUNIT_TEST(idleStreamStaysOpen);
    CPPUNIT_TEST(silentPeerGetsNewConnection);
    CPPUNIT_TEST(rejectsOtherClusters);
    CPPUNIT_TEST(replacedPeersMakeRoom);
    CPPUNIT_TEST(unusedConnectionStaysOpen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against payloads lost on a working connection, and against sending messages above the
    // size limit, for which the receiver would end the stream.
    void deliversAndBoundsMessages()
    {
        test_receiver end(2, 0);
        CPPUNIT_ASSERT(end.isListening());
        grpc_peer_transport link(settingsFor("c", end.port()), m_events, m_metrics);
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "first");
            return end.has("first");
        }));
        const std::string large(3U << 20, 'x');
        link.send(2, std::string(5U << 20, 'y'));
        link.send(2, large);
        link.send(7, "nobody");
        CPPUNIT_ASSERT(waitFor([&] { return end.has(large); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), end.count());
    }

    // Guards against an election whose first vote requests wait for connections to the voters.
    void connectsBeforeTheFirstMessage()
    {
        test_receiver end(2, 0);
        grpc_peer_transport::settings settings = settingsFor("c", end.port());
        settings.addresses.clear();
        settings.addressOf = [&](replica_id) { return fmt::format("127.0.0.1:{}", end.port()); };
        connection_counter events;
        grpc_peer_transport link(settings, events, m_metrics);
        link.connect(2);
        CPPUNIT_ASSERT(waitFor([&] { return events.connections == 1; }));
    }

    // Guards against a sender that does not reconnect after its peer restarted.
    void reconnectsAfterRestart()
    {
        auto end = std::make_unique<test_receiver>(2, 0);
        const int port = end->port();
        grpc_peer_transport link(settingsFor("c", port), m_events, m_metrics);
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "before");
            return end->has("before");
        }));
        end.reset();
        CPPUNIT_ASSERT(waitFor([&] {
            end = std::make_unique<test_receiver>(2, port);
            return end->isListening();
        }));
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "after");
            return end->has("after");
        }));
    }

    // Guards against a first vote request after a calm period that is cancelled together with its
    // stream, because the peer, which had nothing to answer, is taken for silent.
    void idleStreamStaysOpen()
    {
        test_receiver end(2, 0);
        grpc_peer_transport::settings settings = settingsFor("c", end.port());
        settings.silenceTimeout = 1s;
        connection_counter events;
        grpc_peer_transport link(settings, events, m_metrics);
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "first");
            return end.has("first");
        }));
        link.recordReceived(2);
        const int before = events.connections;
        std::this_thread::sleep_for(settings.silenceTimeout * 2);
        CPPUNIT_ASSERT_EQUAL(before, events.connections.load());
        link.send(2, "second");
        CPPUNIT_ASSERT(waitFor([&] { return end.has("second"); }));
    }

    // Guards against a dead connection that is kept: it neither fails nor delivers anything.
    void silentPeerGetsNewConnection()
    {
        test_receiver end(2, 0);
        grpc_peer_transport::settings settings = settingsFor("c", end.port());
        settings.silenceTimeout = 100ms;
        connection_counter events;
        grpc_peer_transport link(settings, events, m_metrics);
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "unanswered");
            return events.connections >= 3;
        }));
    }

    // Guards against a wrong address that delivers messages to another cluster or replica and mixes
    // their logs.
    void rejectsOtherClusters()
    {
        test_receiver end(2, 0);
        test_receiver misaddressed(3, 0);
        grpc_peer_transport foreign(settingsFor("other", end.port()), m_events, m_metrics);
        grpc_peer_transport wrong(settingsFor("c", misaddressed.port()), m_events, m_metrics);
        grpc_peer_transport right(settingsFor("c", end.port()), m_events, m_metrics);
        for (int i = 0; i < 100; ++i) {
            foreign.send(2, "foreign");
            wrong.send(2, "wrong");
        }
        CPPUNIT_ASSERT(waitFor([&] {
            foreign.send(2, "foreign");
            wrong.send(2, "wrong");
            right.send(2, "right");
            return end.has("right");
        }));
        CPPUNIT_ASSERT(!end.has("foreign"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), misaddressed.count());
    }

    // Guards against a control instance that can't speak to new members because addresses of
    // machines that are gone take all places.
    void replacedPeersMakeRoom()
    {
        auto end = std::make_unique<test_receiver>(2, 0);
        const int port = end->port();
        const int closedPort = 1;
        grpc_peer_transport::settings settings = settingsFor("c", port);
        settings.addresses.clear();
        settings.addressOf = [&](replica_id id) {
            return fmt::format("127.0.0.1:{}", id == 2 ? port : closedPort);
        };
        settings.maxPeers = 3;
        settings.unusedTimeout = 100ms;
        grpc_peer_transport link(settings, m_events, m_metrics);
        for (const replica_id gone : {10, 11, 12})
            link.send(gone, "to a machine that is gone");
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "first");
            return end->has("first");
        }));
        // A peer that was removed itself gets messages again once it returns.
        end.reset();
        std::this_thread::sleep_for(2s); // longer than unusedTimeout and an attempt to connect
        CPPUNIT_ASSERT(waitFor([&] {
            end = std::make_unique<test_receiver>(2, port);
            return end->isListening();
        }));
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "after its return");
            return end->has("after its return");
        }));
    }

    // Guards against an election whose first vote requests wait for connections that were closed
    // because followers exchange nothing in calm periods.
    void unusedConnectionStaysOpen()
    {
        test_receiver end(2, 0);
        grpc_peer_transport::settings settings = settingsFor("c", end.port());
        settings.addresses.clear();
        settings.addressOf = [&](replica_id) { return fmt::format("127.0.0.1:{}", end.port()); };
        settings.unusedTimeout = 50ms;
        connection_counter events;
        grpc_peer_transport link(settings, events, m_metrics);
        CPPUNIT_ASSERT(waitFor([&] {
            link.send(2, "first");
            return end.has("first");
        }));
        const int before = events.connections;
        std::this_thread::sleep_for(1s);
        link.send(2, "after a calm period");
        CPPUNIT_ASSERT(waitFor([&] { return end.has("after a calm period"); }));
        CPPUNIT_ASSERT_EQUAL(before, events.connections.load());
    }

private:
    null_event_log m_events;
    metric_registry m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(grpc_peer_transport_test);
