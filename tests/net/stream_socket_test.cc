#include "net/stream_socket.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

using peer_action = std::function<void(Poco::Net::StreamSocket &)>;

struct connection_end
{
    std::string received;
    std::optional<close_reason> reason; // empty if the end was not reported in time
};

// Sends until the kernel refuses a byte. The few bytes sent can't fill the send buffer, so the
// refusal is an error of the connection.
void sendUntilRefused(stream_socket &socket)
{
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!socket.hasUnsent() && std::chrono::steady_clock::now() < end)
        socket.send("x");
}

// Connects to a peer that sends `bytes` and then runs `finish`. If `isSending`, the connection is
// written to until that fails, before anything is read from it.
connection_end runConnection(const std::string &bytes, const peer_action &finish, bool isSending)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    event_loop loop;
    stream_socket socket(loop, socket_address::parse(listener.address().toString()));
    connection_end result;
    stream_socket::handlers handlers;
    handlers.onConnected = [&] {
        Poco::Net::StreamSocket peer = listener.acceptConnection();
        peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        finish(peer);
        if (isSending)
            sendUntilRefused(socket);
    };
    handlers.onClosed = [&](close_reason reason) {
        result.reason = reason;
        loop.stop();
    };
    socket.setHandlers(std::move(handlers));
    loop.runAfter(30s, [&] { loop.stop(); });
    loop.run();
    result.received = socket.input();
    return result;
}

void resetConnection(Poco::Net::StreamSocket &peer)
{
    peer.setLinger(true, 0);
    peer.close();
}

void closeConnection(Poco::Net::StreamSocket &peer)
{
    peer.close();
}

} // namespace

// The reason of the close decides whether a response without a length is complete.
class stream_socket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_socket_test);
    CPPUNIT_TEST(resetIsReportedAsFailure);
    CPPUNIT_TEST(resetReportedToSendIsFailure);
    CPPUNIT_TEST(resetBehindUnreadInputIsFailure);
    CPPUNIT_TEST(orderlyCloseIsNoFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    void resetIsReportedAsFailure()
    {
        const connection_end end = runConnection("part", resetConnection, false);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), end.received);
        CPPUNIT_ASSERT(end.reason == close_reason::failed);
    }

    // The kernel reports a reset to one call only. Guards against losing it if that call is a send:
    // the following receive returns 0, as after an orderly close.
    void resetReportedToSendIsFailure()
    {
        const connection_end end = runConnection("part", resetConnection, true);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), end.received);
        CPPUNIT_ASSERT(end.reason == close_reason::failed);
    }

    // As above, with more input than is read at once, so that pending output is sent between two
    // reads.
    void resetBehindUnreadInputIsFailure()
    {
        const std::string bytes(stream_socket::defaultReadLimitBytes * 3 / 2, 'b');
        const connection_end end = runConnection(bytes, resetConnection, true);
        CPPUNIT_ASSERT_EQUAL(bytes.size(), end.received.size());
        CPPUNIT_ASSERT(end.reason == close_reason::failed);
    }

    // Guards against rejecting a complete response: a peer that closes the connection in order
    // answers whatever is sent later with a reset.
    void orderlyCloseIsNoFailure()
    {
        for (const bool isSending : {false, true}) {
            const connection_end end = runConnection("whole", closeConnection, isSending);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), end.received);
            CPPUNIT_ASSERT(end.reason == close_reason::ended);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_socket_test);
