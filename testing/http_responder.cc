#include "testing/http_responder.h"

#include "base/error.h"
#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds stopPoll{20};
constexpr std::chrono::seconds headPatience{2};
constexpr std::size_t maxBodyBytes = 1024UL * 1024;

} // namespace

http_responder::http_responder(const std::string &listen, handler answer)
    : m_answer(std::move(answer))
{
    try {
        m_listener.bind(Poco::Net::SocketAddress(listen), true);
        m_listener.listen();
        m_address = m_listener.address().toString();
    } catch (const Poco::Exception &failure) {
        throw error(listen + ": " + failure.displayText());
    }
    m_thread = std::thread([this] { run(); });
}

http_responder::~http_responder()
{
    m_isStopping = true;
    m_thread.join();
}

void http_responder::run()
{
    while (!m_isStopping) {
        try {
            const Poco::Timespan pause(std::chrono::microseconds(stopPoll).count());
            if (m_listener.poll(pause, Poco::Net::Socket::SELECT_READ))
                serve(m_listener.acceptConnection());
        } catch (const Poco::Exception &) { // the client left
        }
    }
}

void http_responder::serve(const Poco::Net::StreamSocket &socket)
{
    http_connection connection(socket);
    Poco::Net::HTTPRequest request;
    if (!connection.waitReadable(headPatience) || !connection.readHead(request))
        return;
    std::string body;
    if (!connection.readBody(request, [&](std::string_view part) {
            if (body.size() < maxBodyBytes)
                body.append(part);
        }))
        return;
    std::string answer;
    try {
        answer = m_answer(request, body);
    } catch (const Poco::Exception &failure) {
        answer = formatAnswer(400, "", failure.displayText() + "\n", false);
    } catch (const std::exception &failure) { // also a failed assertion of a test
        answer = formatAnswer(400, "", std::string(failure.what()) + "\n", false);
    }
    connection.send(answer);
    connection.closeCleanly();
}

} // namespace buckthorngrade
