#include "net/http_server.h"
#include "property.h"
#include "testing/http_client.h"
#include "testing/http_connection.h"
#include "testing/scripted_server.h"
#include "testing/wait.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Of heads, bodies and idle connections. Long enough for a thread to connect and then to send.
constexpr std::chrono::milliseconds timeout{400};
constexpr std::uint64_t maxBodyBytes = 20'000;
constexpr std::uint64_t loweredBodyBytes = 1'000;
constexpr std::size_t streamingThreshold = 1'000;
constexpr std::size_t uploadBytes = 4'000;

enum class reading {
    at_once,
    little, // small parts with a pause after each
    after_a_pause,
    leaves, // resets the connection after a part
};

enum class ending {
    whole_requests,
    part_of_a_head, // behind the requests
    upload, // its second half is sent after the event
};

// What happens to the server while the callers read.
enum class event { nothing, lowered_body_limit, idle_check, announced_stop };

struct caller
{
    std::vector<std::size_t> responseBytes; // of its requests, which are sent together
    reading how = reading::at_once;
    ending last = ending::whole_requests;
};

struct reader_case
{
    std::vector<caller> callers;
    event what = event::nothing;
    std::chrono::milliseconds at{0};
};

std::string describe(const reader_case &drawn)
{
    constexpr const char *readings[] = {"at once", "little", "after a pause", "leaves"};
    constexpr const char *endings[] = {"", ", part of a head", ", upload"};
    constexpr const char *events[]
        = {"nothing", "lowered body limit", "idle check", "announced stop"};
    std::string result
        = fmt::format("{} after {} ms", events[static_cast<int>(drawn.what)], drawn.at.count());
    for (const caller &each : drawn.callers)
        result += fmt::format("; reads {} {}{}", fmt::join(each.responseBytes, " "),
                              readings[static_cast<int>(each.how)],
                              endings[static_cast<int>(each.last)]);
    return result;
}

caller drawCaller()
{
    caller result;
    result.responseBytes = *rc::gen::container<std::vector<std::size_t>>(
        *rc::gen::inRange<std::size_t>(1, 6),
        rc::gen::element<std::size_t>(1, 2'000, 100'000, 1'000'000, 3'000'000));
    result.how = *rc::gen::element(reading::at_once, reading::little, reading::after_a_pause,
                                   reading::leaves);
    result.last = *rc::gen::element(ending::whole_requests, ending::part_of_a_head, ending::upload);
    return result;
}

// Differs between the requests of a connection, so that swapped responses are noticed.
std::string bodyOf(std::size_t number, std::size_t bytes)
{
    return std::string(bytes, static_cast<char>('a' + number));
}

// Responds to "/NUMBER/BYTES" with bodyOf(), and to others with the size of their body once it is
// complete.
class response_server
{
public:
    response_server()
        : m_server(m_thread.loop(), {"127.0.0.1", 0}, optionsWith(maxBodyBytes),
                   [this](const exchange_pointer &exchange) {
                       if (exchange->head.target.starts_with("/0/"))
                           ++m_callers;
                       respond(exchange);
                   })
    {
        m_thread.start();
    }
    ~response_server() { m_thread.stop(); }
    response_server(const response_server &) = delete;
    response_server &operator=(const response_server &) = delete;

    std::string address() const { return m_server.address().toString(); }
    // Callers of whom at least one request has been read.
    std::size_t callers() const { return m_callers; }
    void apply(event what)
    {
        m_thread.call([&] {
            if (what == event::lowered_body_limit)
                m_server.setOptions(optionsWith(loweredBodyBytes));
            else if (what == event::idle_check)
                m_server.closeIdle();
            else if (what == event::announced_stop)
                m_server.announceStop();
        });
    }
    std::uint64_t bufferedBytes()
    {
        std::uint64_t result = 0;
        m_thread.call([&] { result = m_server.bufferedBytes(); });
        return result;
    }

private:
    static http_server_options optionsWith(std::uint64_t bodyBytes)
    {
        http_server_options result;
        result.headTimeout = result.bodyTimeout = result.idleTimeout = timeout;
        result.maxBodyBytes = bodyBytes;
        result.maxBufferedBytes = 2 * maxBodyBytes;
        result.streamingThresholdBytes = streamingThreshold;
        return result;
    }
    static void respond(const exchange_pointer &exchange)
    {
        const std::string &target = exchange->head.target;
        const auto slash = target.find('/', 1);
        std::size_t bytes = 0;
        if (slash == std::string::npos && !exchange->isBodyComplete()) {
            exchange->onBody = [weak = std::weak_ptr(exchange)] {
                if (const auto held = weak.lock(); held && held->isBodyComplete())
                    respond(held);
            };
            return;
        }
        if (slash == std::string::npos)
            return exchange->respond(200, {}, std::to_string(exchange->body().size()));
        std::from_chars(target.data() + slash + 1, target.data() + target.size(), bytes);
        exchange->respond(200, {}, bodyOf(static_cast<std::size_t>(target[1] - '0'), bytes));
    }

    std::atomic<std::size_t> m_callers = 0;
    loop_thread m_thread;
    http_server m_server;
};

std::string requestsOf(const caller &each)
{
    std::string result;
    for (std::size_t i = 0; i < each.responseBytes.size(); ++i)
        result += fmt::format("GET /{}/{} HTTP/1.1\r\nHost: h\r\n\r\n", i, each.responseBytes[i]);
    if (each.last == ending::part_of_a_head)
        result += "GET /late HT";
    if (each.last == ending::upload)
        result += fmt::format("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                              uploadBytes, std::string(uploadBytes / 2, 'u'));
    return result;
}

// Reads the responses of one caller. Returns what is wrong with them, or an empty string.
std::string readResponses(const std::string &address, const caller &each,
                          const std::function<void()> &waitForEvent)
{
    Poco::Net::StreamSocket socket;
    constexpr int windowBytes = 64 * 1024; // so that the kernel holds little of the responses
    socket.init(AF_INET);
    socket.setReceiveBufferSize(windowBytes);
    socket.connect(Poco::Net::SocketAddress(address));
    http_connection connection(socket);
    connection.send(requestsOf(each));
    if (each.last == ending::upload) {
        waitForEvent();
        connection.send(std::string(uploadBytes / 2, 'u'));
    }
    if (each.how == reading::after_a_pause)
        std::this_thread::sleep_for(4 * timeout);
    for (std::size_t i = 0; i < each.responseBytes.size(); ++i) {
        Poco::Net::HTTPResponse head;
        if (!connection.readHead(head))
            return fmt::format("no response {}", i);
        if (each.how == reading::leaves) {
            connection.reset();
            return {};
        }
        std::string body;
        std::size_t pausedAt = 0;
        const bool isWhole = connection.readBody(head, [&](std::string_view part) {
            body += part;
            constexpr std::size_t partBytes = 300'000;
            if (each.how == reading::little && body.size() - pausedAt >= partBytes) {
                pausedAt = body.size();
                std::this_thread::sleep_for(timeout / 2);
            }
        });
        if (!isWhole)
            return fmt::format("response {} ended after {} bytes", i, body.size());
        if (body != bodyOf(i, each.responseBytes[i]))
            return fmt::format("response {} has other bytes", i);
    }
    // What becomes of the last request depends on the time; the server rejects it if it is late or
    // too large.
    return {};
}

std::string readSafely(const std::string &address, const caller &each,
                       const std::function<void()> &waitForEvent)
{
    try {
        return readResponses(address, each, waitForEvent);
    } catch (const Poco::Exception &failure) {
        return failure.displayText();
    }
}

void checkCase(const reader_case &drawn)
{
    response_server server;
    std::vector<std::string> faults(drawn.callers.size());
    std::vector<std::thread> threads;
    std::promise<void> applied;
    const std::shared_future<void> event = applied.get_future().share();
    for (std::size_t i = 0; i < drawn.callers.size(); ++i)
        threads.emplace_back([&, i] {
            faults[i] = readSafely(server.address(), drawn.callers[i], [&event] { event.wait(); });
        });
    // A connection on which nothing was read yet may be closed.
    waitUntil("a request of each caller is read",
              [&] { return server.callers() == drawn.callers.size(); });
    std::this_thread::sleep_for(drawn.at);
    server.apply(drawn.what);
    applied.set_value();
    http_request sound;
    sound.method = "POST";
    sound.path = "/sound";
    sound.body = std::string(loweredBodyBytes, 's');
    const http_response meanwhile = exchange(server.address(), sound);
    std::ranges::for_each(threads, &std::thread::join);
    for (const std::string &fault : faults)
        RC_ASSERT(fault == "");
    RC_ASSERT(meanwhile.status == 200);
    // All that was held for the callers is free again.
    waitUntil("no bytes are buffered", [&] { return server.bufferedBytes() == 0; });
    RC_ASSERT(exchange(server.address(), sound).body == std::to_string(loweredBodyBytes));
}

} // namespace

// Callers that read their responses at once, slowly, late or not to the end, pipelined or not, with
// requests behind them that stay incomplete, while timers run out and events come.
class slow_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slow_reader_test);
    CPPUNIT_TEST(readersGetTheirResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against responses that are cut off while their caller still reads, and against bytes
    // that stay counted after their request has ended, so that others are rejected.
    void readersGetTheirResponses()
    {
        checkProperty("slow readers", 15, [] {
            reader_case drawn;
            drawn.callers.resize(*rc::gen::inRange<std::size_t>(1, 9));
            std::ranges::generate(drawn.callers, drawCaller);
            drawn.what = *rc::gen::element(event::nothing, event::lowered_body_limit,
                                           event::idle_check, event::announced_stop);
            drawn.at = std::chrono::milliseconds(*rc::gen::inRange(0, 600));
            RC_LOG() << describe(drawn);
            checkCase(drawn);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_reader_test);
