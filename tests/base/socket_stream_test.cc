#include "base/http_body.h"
#include "base/socket_stream.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

enum class peer_end { close, reset };

void writeUntilFailure(socket_stream &stream, steady_time deadline)
{
    try {
        while (std::chrono::steady_clock::now() < deadline)
            stream.write("x", deadline);
    } catch (const socket_error &failure) {
        CPPUNIT_ASSERT(!failure.isTimeout());
        return;
    }
    CPPUNIT_FAIL("the connection did not fail");
}

// Returns a connection whose peer has sent `bytes` and then ended it. If `isWriting`, the
// connection has been written to until that failed, before anything was read from it.
socket_stream endedConnection(std::string_view bytes, peer_end end, bool isWriting)
{
    const steady_time deadline = std::chrono::steady_clock::now() + 30s;
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    socket_stream stream = socket_stream::connect(listener.address().toString(), deadline);
    Poco::Net::StreamSocket peer = listener.acceptConnection();
    peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (end == peer_end::reset)
        peer.setLinger(true, 0);
    peer.close();
    if (isWriting)
        writeUntilFailure(stream, deadline);
    return stream;
}

struct body_end
{
    std::string body;
    bool isComplete = false;
};

// Reads a body that ends with its connection.
body_end readBody(socket_stream stream)
{
    const steady_time deadline = std::chrono::steady_clock::now() + 30s;
    http_head head;
    head.framing = body_framing::until_close;
    body_reader reader(stream, head);
    body_end result;
    try {
        std::array<char, 1024> part{};
        while (const std::size_t count = reader.read(part.data(), part.size(), deadline))
            result.body.append(part.data(), count);
    } catch (const socket_error &failure) {
        CPPUNIT_ASSERT(!failure.isTimeout());
    }
    result.isComplete = reader.isComplete();
    return result;
}

} // namespace

class socket_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(socket_stream_test);
    CPPUNIT_TEST(bodyEndedByResetIsIncomplete);
    CPPUNIT_TEST(bodyEndedByCloseIsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // The kernel reports a reset to one call only. Guards against losing it if that call is a
    // write: the following read returns 0, as after an orderly close, and a response without a
    // length looks complete.
    void bodyEndedByResetIsIncomplete()
    {
        for (const bool isWriting : {false, true}) {
            const body_end end = readBody(endedConnection("part", peer_end::reset, isWriting));
            CPPUNIT_ASSERT_EQUAL(std::string("part"), end.body);
            CPPUNIT_ASSERT(!end.isComplete);
        }
    }

    // Guards against rejecting a complete response: a peer that closes the connection in order
    // answers whatever is sent later with a reset.
    void bodyEndedByCloseIsComplete()
    {
        for (const bool isWriting : {false, true}) {
            const body_end end = readBody(endedConnection("whole", peer_end::close, isWriting));
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), end.body);
            CPPUNIT_ASSERT(end.isComplete);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_stream_test);
