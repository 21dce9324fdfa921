#include "testing/fault_proxy_control.h"

#include "base/error.h"
#include "base/yaml_reader.h"
#include "testing/http_connection.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace buckthorngrade {

namespace {

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
    , m_responder(listen, [this](const Poco::Net::HTTPRequest &request, const std::string &body) {
        if (request.getURI() == "/status")
            return formatAnswer(200, "", statusJson(), false);
        if (request.getURI() != "/set")
            return formatAnswer(404, "", "not found\n", false);
        apply(body);
        return formatAnswer(200, "", "ok\n", false);
    })
{ }

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
