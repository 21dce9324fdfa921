#include "carrier/control_client.h"

#include "testing/free_port.h"
#include "testing/raw_server.h"
#include "testing/scripted_server.h"
#include "testing/wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

enum class frame_type : std::uint8_t { data = 0, headers = 1, settings = 4 };
constexpr std::uint8_t endStream = 1;
constexpr std::uint8_t endHeaders = 4;
constexpr std::size_t frameHeadBytes = 9;
constexpr std::size_t prefaceBytes = 24;

// Bytes of an HTTP/2 frame (RFC 9113, section 4.1), of less than 64 KB.
std::string encodeFrame(frame_type type, std::uint8_t flags, std::uint8_t stream,
                        const std::string &payload)
{
    std::string result(frameHeadBytes, '\0');
    result[1] = static_cast<char>(payload.size() >> 8U);
    result[2] = static_cast<char>(payload.size() & 0xffU);
    result[3] = static_cast<char>(type);
    result[4] = static_cast<char>(flags);
    result[8] = static_cast<char>(stream);
    return result + payload;
}

// A field in HPACK, as a literal with a new name (RFC 7541, section 6.2.2).
std::string encodeField(const std::string &name, const std::string &value)
{
    std::string result(1, '\0');
    for (const std::string &text : {name, value})
        result += static_cast<char>(text.size()) + text;
    return result;
}

struct grpc_answer
{
    std::string status = "200";
    std::string extraFields{}; // encoded
    std::string message{}; // of the call, as gRPC frames it
    bool hasTrailers = true; // otherwise the connection ends after the message
    bool resets = false;
};

// Reads until a whole call has arrived and returns whether one has.
bool readCall(Poco::Net::StreamSocket &socket)
{
    std::string input;
    std::array<char, 4096> part{};
    std::size_t next = prefaceBytes;
    while (const int count = socket.receiveBytes(part.data(), static_cast<int>(part.size()))) {
        input.append(part.data(), static_cast<std::size_t>(count));
        while (input.size() >= next + frameHeadBytes) {
            const auto byteAt
                = [&](std::size_t i) { return static_cast<std::uint8_t>(input[next + i]); };
            const std::size_t length
                = (std::size_t{byteAt(0)} << 16U) | (std::size_t{byteAt(1)} << 8U) | byteAt(2);
            if (input.size() < next + frameHeadBytes + length)
                break;
            const bool isData = byteAt(3) == static_cast<std::uint8_t>(frame_type::data);
            if (isData && (byteAt(4) & endStream) != 0)
                return true;
            next += frameHeadBytes + length;
        }
    }
    return false;
}

void answerCall(Poco::Net::StreamSocket &socket, const grpc_answer &answer)
{
    const auto send = [&](const std::string &bytes) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    };
    send(encodeFrame(frame_type::settings, 0, 0, ""));
    if (!readCall(socket))
        return;
    std::string bytes
        = encodeFrame(frame_type::headers, endHeaders, 1,
                      encodeField(":status", answer.status)
                          + encodeField("content-type", "application/grpc") + answer.extraFields)
        + encodeFrame(frame_type::data, 0, 1, answer.message);
    if (answer.hasTrailers)
        bytes += encodeFrame(frame_type::headers, endHeaders | endStream, 1,
                             encodeField("grpc-status", "0"));
    send(bytes);
    if (answer.resets) {
        socket.setLinger(true, 0);
        socket.close();
        return;
    }
    socket.shutdownSend();
    std::array<char, 4096> rest{};
    while (socket.receiveBytes(rest.data(), static_cast<int>(rest.size())) > 0)
        continue;
}

// A message as gRPC frames it, of less than 256 bytes.
std::string frameMessage(const std::string &bytes)
{
    return std::string(4, '\0') + static_cast<char>(bytes.size()) + bytes;
}

} // namespace

class control_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_client_test);
    CPPUNIT_TEST(refusedConnectionDoesNotReplaceChannel);
    CPPUNIT_TEST(brokenReplyIsAFailedCall);
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

    // Guards against using a view that did not arrive whole, or whose call did not end as gRPC
    // demands. gRPC's callback interface reports a call as successful although its message is
    // missing or can't be parsed.
    void brokenReplyIsAFailedCall()
    {
        wire::node_view view;
        view.set_routing_version(7);
        view.set_routing_text("text");
        const std::string bytes = view.SerializeAsString();
        const std::string part = bytes.substr(0, bytes.size() - 1);
        const std::string message = frameMessage(bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, viewsFrom({.message = message}).at(0));
        const std::vector<std::pair<std::string, grpc_answer>> broken = {
            {"closed before the status", {.message = message, .hasTrailers = false}},
            {"reset before the status", {.message = message, .hasTrailers = false, .resets = true}},
            {"no message", {}},
            {"part of a message", {.message = message.substr(0, message.size() - 1)}},
            {"message that can't be parsed", {.message = frameMessage(part)}},
            {"status 000", {.status = "000", .message = message}},
            {"status 999", {.status = "999", .message = message}},
        };
        for (const auto &[what, answer] : broken)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, viewsFrom(answer).size());
        // HTTP/2 states the lengths of names, so a malformed one changes nothing else, and fields
        // are not passed on.
        const std::string malformedNames = encodeField("bad name", "v") + encodeField("\x01", "v");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             viewsFrom({.extraFields = malformedNames, .message = message}).at(0));
    }

private:
    // Calls a server that gives `answer` to each call and then ends the connection. Returns the
    // routing versions of the views delivered, once there is one or three connections have ended.
    static std::vector<std::uint64_t> viewsFrom(const grpc_answer &answer)
    {
        raw_server server([&](Poco::Net::StreamSocket &socket) { answerCall(socket, answer); });
        loop_thread thread;
        null_event_log events;
        std::vector<std::uint64_t> versions; // used on the loop's thread
        {
            control_client client(thread.loop(), server.port(), events,
                                  [&](const std::string &, const wire::node_view &view) {
                                      versions.push_back(view.routing_version());
                                  });
            client.setHosts({"127.0.0.1"});
            thread.loop().runEvery(20ms, [&] { client.poll({}, ""); });
            thread.start();
            waitUntil("calls have ended", [&] {
                bool hasView = false;
                thread.call([&] { hasView = !versions.empty(); });
                return hasView || server.connections() > 3;
            });
            thread.stop();
        }
        return versions;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_client_test);
