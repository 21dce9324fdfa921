#include "entry/load_poller.h"

#include "base/http_body.h"
#include "base/http_response.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <array>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds pollPeriod{1'000};
constexpr std::chrono::milliseconds pollTimeout{250};
constexpr std::size_t maxAnswerBytes = 4096;
constexpr int ok = 200;

} // namespace

std::optional<double> parseLoad(std::string_view json)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(4);
        const auto object = parser.parse(std::string(json)).extract<Poco::JSON::Object::Ptr>();
        const double load = object->getValue<double>("load");
        return load >= 0 && load <= 1 ? std::optional(load) : std::nullopt;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

load_poller::load_poller(const std::vector<std::unique_ptr<service_balancer>> &balancers,
                         upstream_pool &pool, event_log &events, metric_registry &metrics)
    : m_balancers(balancers)
    , m_pool(pool)
    , m_failures(metrics.counter("buckthorngrade_load_polls_failed_total"))
    , m_thread(
          "load-poll", pollPeriod, [this] { run(); }, events)
{ }

void load_poller::run()
{
    for (const auto &balancer : m_balancers) {
        for (std::size_t i = 0; i < balancer->spec().upstreams.size(); ++i) {
            if (!balancer->spec().upstreams[i].loadPath.empty() && !poll(*balancer, i))
                m_failures.add();
        }
    }
}

bool load_poller::poll(service_balancer &balancer, std::size_t upstream)
{
    const upstream_spec &spec = balancer.spec().upstreams[upstream];
    const steady_time deadline = std::chrono::steady_clock::now() + pollTimeout;
    try {
        auto lease = m_pool.acquire(spec, deadline);
        socket_stream &stream = *lease.stream;
        stream.write(
            fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", spec.loadPath, spec.address),
            deadline);
        const http_head head = readResponseHead(stream, false, deadline);
        body_reader body(stream, head);
        std::array<char, maxAnswerBytes> buffer{};
        std::size_t total = 0;
        while (total < buffer.size()) {
            const std::size_t count
                = body.read(buffer.data() + total, buffer.size() - total, deadline);
            if (count == 0)
                break;
            total += count;
        }
        if (!body.isComplete())
            return false;
        if (head.keepAlive)
            m_pool.release(spec, std::move(lease));
        const auto load = head.status == ok ? parseLoad({buffer.data(), total}) : std::nullopt;
        if (load)
            balancer.recordLoad(upstream, *load);
        return load.has_value();
    } catch (const error &) { // no response in time, or a malformed one
        return false;
    }
}

} // namespace buckthorngrade
