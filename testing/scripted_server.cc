#include "testing/scripted_server.h"

#include "base/http_head.h"

#include <future>

#include <fmt/format.h>

namespace buckthorngrade {

void loop_thread::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

void loop_thread::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

void loop_thread::call(const std::function<void()> &task)
{
    std::promise<void> done;
    m_loop.post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

scripted_server::scripted_server(event_loop &loop, script answer)
    : m_loop(loop)
    , m_script(std::move(answer))
    , m_listener(loop, {"127.0.0.1", 0}, [this](int descriptor) { accept(descriptor); })
{ }

scripted_server::~scripted_server() = default;

std::vector<std::string> scripted_server::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void scripted_server::accept(int descriptor)
{
    ++m_accepted;
    peer &added = *m_peers.emplace_back(std::make_unique<peer>());
    added.socket = std::make_unique<stream_socket>(m_loop, descriptor);
    stream_socket::handlers handlers;
    handlers.onInput = [this, &added] { read(added); };
    handlers.onClosed = [this, &added](close_reason) {
        if (added.isWaiting)
            ++m_abandoned;
        if (added.decoder)
            ++m_brokenOff;
    };
    added.socket->setHandlers(std::move(handlers));
}

void scripted_server::answerHeadsWith(script answer)
{
    m_headScript = std::move(answer);
}

bool scripted_server::readHead(peer &from)
{
    std::string &input = from.socket->input();
    const auto end = findHeadEnd(input);
    if (!end)
        return false;
    from.head = input.substr(0, *end);
    from.body.clear();
    from.decoder.emplace(parseRequestHead(from.head));
    input.erase(0, *end);
    ++m_heads;
    if (m_headScript && !from.decoder->isComplete())
        answer(from, m_headScript(from.head));
    return true;
}

void scripted_server::read(peer &from)
{
    if (!from.decoder && !readHead(from))
        return;
    std::string &input = from.socket->input();
    if (!from.decoder->isComplete())
        input.erase(0, from.decoder->decode(input, from.body));
    if (!from.decoder->isComplete())
        return;
    from.decoder.reset();
    const std::string request = from.head + from.body;
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
    }
    answer(from, m_script(request));
}

void scripted_server::answer(peer &to, const scripted_answer &answer)
{
    if (answer.delay.count() > 0)
        m_loop.runAfter(answer.delay, [this, &to, answer] { send(to, answer); });
    else
        send(to, answer);
}

void scripted_server::send(peer &to, const scripted_answer &answer)
{
    to.isWaiting = answer.bytes.empty() && !answer.closes && !answer.resets;
    if (!answer.laterBytes.empty())
        ++m_pendingLater;
    to.socket->send(answer.bytes);
    if (!answer.laterBytes.empty())
        m_loop.runAfter(answer.laterDelay, [this, &to, bytes = answer.laterBytes] {
            to.socket->send(bytes);
            --m_pendingLater;
        });
    if (answer.resets)
        to.socket->reset();
    else if (answer.closes)
        to.socket->close();
}

std::string scriptedResponse(int status, const std::string &fields, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, fields,
                       body.size(), body);
}

std::string scriptedField(const std::string &request, const std::string &name)
{
    return parseRequestHead(request.substr(0, findHeadEnd(request).value())).get(name);
}

} // namespace buckthorngrade
