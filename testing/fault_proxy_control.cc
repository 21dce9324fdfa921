#include "testing/fault_proxy_control.h"

#include "base/error.h"
#include "base/yaml_reader.h"
#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds stopPoll{100};
constexpr std::size_t maxBodyBytes = 64UL * 1024;

template <typename Duration>
void readDuration(const Poco::JSON::Object &values, const std::string &key, Duration &target)
{
    if (!values.has(key))
        return;
    const auto value = parseDuration(values.getValue<std::string>(key));
    if (!value)
        throw error(key + " must be a time with its unit, for example 5ms");
    target = *value;
}

link_conditions::flow flowFromString(const std::string &word)
{
    if (word == "open")
        return link_conditions::flow::open;
    if (word == "hold")
        return link_conditions::flow::hold;
    if (word == "discard")
        return link_conditions::flow::discard;
    throw error("state must be open, hold or discard");
}

void readConditions(const Poco::JSON::Object &values, link_conditions &target)
{
    readDuration(values, "delay", target.delay);
    readDuration(values, "jitter", target.jitter);
    readDuration(values, "stall_time", target.stallTime);
    target.stallProbability = values.optValue("stall", target.stallProbability);
    target.resetProbability = values.optValue("reset", target.resetProbability);
    if (values.has("rate")) {
        const auto rate = parseBitRate(values.getValue<std::string>("rate"));
        if (!rate)
            throw error("rate must have a unit, for example 300Mbit/s");
        target.bytesPerSecond = *rate;
    }
    if (values.has("state"))
        target.state = flowFromString(values.getValue<std::string>("state"));
}

} // namespace

fault_proxy_control::fault_proxy_control(fault_proxy &proxy, const std::string &listen)
    : m_proxy(proxy)
{
    try {
        m_listener.bind(Poco::Net::SocketAddress(listen), true);
        m_listener.listen();
    } catch (const Poco::Exception &failure) {
        throw error(listen + ": " + failure.displayText());
    }
    m_thread = std::thread([this] { run(); });
}

fault_proxy_control::~fault_proxy_control()
{
    m_isStopping = true;
    m_thread.join();
}

void fault_proxy_control::run()
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

void fault_proxy_control::serve(const Poco::Net::StreamSocket &socket)
{
    constexpr std::chrono::seconds patience{2};
    http_connection connection(socket);
    Poco::Net::HTTPRequest request;
    if (!connection.waitReadable(patience) || !connection.readHead(request))
        return;
    std::string body;
    if (!connection.readBody(request, [&](std::string_view part) {
            if (body.size() < maxBodyBytes)
                body.append(part);
        }))
        return;
    std::string answer;
    try {
        if (request.getURI() == "/status") {
            answer = formatAnswer(200, "", statusJson(), false);
        } else if (request.getURI() == "/set") {
            apply(body);
            answer = formatAnswer(200, "", "ok\n", false);
        } else {
            answer = formatAnswer(404, "", "not found\n", false);
        }
    } catch (const error &failure) {
        answer = formatAnswer(400, "", std::string(failure.what()) + "\n", false);
    } catch (const Poco::Exception &failure) {
        answer = formatAnswer(400, "", failure.displayText() + "\n", false);
    }
    connection.send(answer);
    connection.closeCleanly();
}

void fault_proxy_control::apply(const std::string &body)
{
    const auto values = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    const std::string action = values->optValue<std::string>("action", "");
    if (action == "heal")
        m_proxy.heal();
    else if (action == "reset_all")
        m_proxy.resetAll();
    else if (action == "half_open")
        m_proxy.leaveHalfOpen();
    else if (!action.empty())
        throw error("action must be heal, reset_all or half_open");
    for (const auto which : {fault_proxy::to_target, fault_proxy::to_client}) {
        link_conditions conditions = m_proxy.conditions(which);
        for (const std::string key :
             {"both", which == fault_proxy::to_target ? "to_target" : "to_client"})
            if (values->has(key))
                readConditions(*values->getObject(key), conditions);
        m_proxy.setConditions(which, conditions);
    }
    if (values->has("refuse"))
        m_proxy.setRefusing(values->getValue<bool>("refuse"));
}

std::string fault_proxy_control::statusJson() const
{
    const fault_proxy::counters counters = m_proxy.read();
    return fmt::format(R"({{"address":"{}","accepted":{},"open":{},"bytes_to_target":{},)"
                       R"("bytes_to_client":{},"stalls":{},"resets":{}}})",
                       m_proxy.address(), counters.accepted, counters.open, counters.bytes[0],
                       counters.bytes[1], counters.stalls, counters.resets);
}

} // namespace buckthorngrade
