#pragma once

#include "net/body_decoder.h"
#include "net/event_loop.h"
#include "net/stream_socket.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace buckthorngrade {

// An event loop on a thread of its own, for tests. Objects that use the loop are created before
// start() and destroyed after stop().
class loop_thread
{
public:
    loop_thread() = default;
    ~loop_thread() { stop(); }
    loop_thread(const loop_thread &) = delete;
    loop_thread &operator=(const loop_thread &) = delete;

    event_loop &loop() { return m_loop; }
    void start();
    void stop();
    // Runs `task` on the loop's thread and waits for it.
    void call(const std::function<void()> &task);

private:
    event_loop m_loop;
    std::thread m_thread;
};

// What a scripted_server does with one request.
struct scripted_answer
{
    std::string bytes; // sent as they are; empty: nothing is answered
    bool closes = false; // cleanly, after the bytes
    bool resets = false; // in place of a clean close
    std::chrono::milliseconds delay{0}; // before all that
    std::string laterBytes = {}; // sent on the connection, while it is open, after `laterDelay`
    std::chrono::milliseconds laterDelay{0};
};

// Answers whole requests with whatever bytes a test wants, to play upstreams that misbehave.
class scripted_server
{
public:
    // Gets the request's text, head and body. Called on the loop's thread.
    using script = std::function<scripted_answer(const std::string &request)>;

    scripted_server(event_loop &loop, script answer);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    // Answers each request as soon as its head has arrived, in place of the script.
    void answerHeadsWith(script answer);
    std::string address() const { return m_listener.address().toString(); }
    // Requests that arrived whole, with the body as it was before it was sent in chunks.
    std::vector<std::string> requests() const;
    // Connections that the other side closed while a request had no answer.
    std::size_t abandoned() const { return m_abandoned; }
    std::size_t connections() const { return m_accepted; }
    // Heads of requests that arrived.
    std::size_t heads() const { return m_heads; }
    // Answers whose `laterBytes` are still to be sent.
    std::size_t pendingLater() const { return m_pendingLater; }
    // Connections that the other side closed in the middle of a request.
    std::size_t brokenOff() const { return m_brokenOff; }

private:
    struct peer
    {
        std::unique_ptr<stream_socket> socket;
        bool isWaiting = false; // a request has no answer
        std::string head; // of the request whose body is being read
        std::string body;
        std::optional<body_decoder> decoder;
    };

    void accept(int descriptor);
    void read(peer &from);
    bool readHead(peer &from);
    void answer(peer &to, const scripted_answer &answer);
    void send(peer &to, const scripted_answer &answer);

    event_loop &m_loop;
    script m_script;
    script m_headScript;
    stream_listener m_listener;
    std::vector<std::unique_ptr<peer>> m_peers;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::atomic<std::size_t> m_abandoned = 0;
    std::atomic<std::size_t> m_accepted = 0;
    std::atomic<std::size_t> m_heads = 0;
    std::atomic<std::size_t> m_brokenOff = 0;
    std::atomic<std::size_t> m_pendingLater = 0;
};

// A response with Content-Length; `fields` are lines that end with CR LF.
std::string scriptedResponse(int status, const std::string &fields, const std::string &body);
// Value of a field in a request's text; empty if there is none.
std::string scriptedField(const std::string &request, const std::string &name);

} // namespace buckthorngrade
