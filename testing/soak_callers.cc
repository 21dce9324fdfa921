#include "testing/soak_callers.h"

#include "testing/http_client.h"
#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <memory>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds requestTime{2'000};
constexpr std::chrono::milliseconds readTimeout{4'000}; // beyond the time of a request
constexpr std::chrono::milliseconds lookupTimeout{1'000};
constexpr std::chrono::milliseconds pauseAfterFailure{20};
constexpr std::size_t requestsOfAnAnswer = 20; // sent before the directory is asked again
constexpr std::size_t uploadBytes = 30'000;
constexpr int ok = 200;

} // namespace

struct soak_callers::caller_state
{
    std::size_t number = 0;
    std::mt19937_64 random;
    std::uint64_t sent = 0;
    std::size_t sentToAnswer = 0;
    std::vector<std::string> entries;
    std::unique_ptr<http_connection> connection;
};

soak_callers::soak_callers(soak_record &record, std::vector<std::string> directories,
                           std::size_t count, const std::string &region, const std::string &domain,
                           std::uint64_t seed)
    : m_record(record)
    , m_directories(std::move(directories))
    , m_target(fmt::format("/v1/resolve?name=soak&region={}&zone={}", region, domain))
    , m_seed(seed)
{
    for (std::size_t i = 0; i < count; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

soak_callers::~soak_callers()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
}

void soak_callers::run(std::size_t number)
{
    caller_state state;
    state.number = number;
    state.random.seed(m_seed + number);
    while (!m_isStopping) {
        if (state.entries.empty() || state.sentToAnswer >= requestsOfAnAnswer) {
            state.entries = lookUp(state);
            state.sentToAnswer = 0;
        }
        if (state.entries.empty())
            std::this_thread::sleep_for(pauseAfterFailure);
        else
            sendOne(state);
    }
}

std::vector<std::string> soak_callers::lookUp(caller_state &state) const
{
    const std::string &directory = m_directories[state.random() % m_directories.size()];
    const http_response response
        = exchange(directory, {.path = m_target, .timeout = lookupTimeout});
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != ok || !body.is_object() || !body.contains("addresses"))
        return {};
    return body["addresses"].get<std::vector<std::string>>();
}

void soak_callers::sendOne(caller_state &state)
{
    const std::string id = fmt::format("c{}-{}", state.number, ++state.sent);
    ++state.sentToAnswer;
    http_request request;
    request.headers
        = {{"X-Buckthorngrade-Request-Id", id},
           {"X-Buckthorngrade-Deadline-Ms", std::to_string(requestTime.count())},
           {"Cookie", fmt::format("X-Buckthorngrade-Affinity-Key={}", state.random() % 20)}};
    const auto kind = state.random() % 3;
    request.path = kind == 0 ? "/safe/x" : "/once/x";
    if (kind != 0) {
        request.method = "POST";
        request.body = std::string(kind == 1 ? 200 : uploadBytes, 'b');
    }
    http_response response;
    try {
        if (!state.connection) {
            Poco::Net::StreamSocket socket;
            const Poco::Timespan limit(
                std::chrono::duration_cast<std::chrono::microseconds>(lookupTimeout).count());
            socket.connect(
                Poco::Net::SocketAddress(state.entries[state.random() % state.entries.size()]),
                limit);
            socket.setReceiveTimeout(
                std::chrono::duration_cast<std::chrono::microseconds>(readTimeout).count());
            socket.setSendTimeout(
                std::chrono::duration_cast<std::chrono::microseconds>(readTimeout).count());
            state.connection = std::make_unique<http_connection>(socket);
        }
        response = exchange(*state.connection, request);
    } catch (const Poco::Exception &) {
        response.status = 0; // the connection could not be made
    }
    m_record.answered(id, response.status, response.body,
                      response.header("x-buckthorngrade-server-seal") == "seal-" + id,
                      response.isComplete);
    if (!response.isComplete || response.header("connection") == "close")
        state.connection.reset();
    if (response.status == ok && response.isComplete) {
        ++m_successes;
    } else {
        std::this_thread::sleep_for(pauseAfterFailure);
    }
}

} // namespace buckthorngrade
