#include "testing/stand_in.h"

#include "base/error.h"
#include "base/yaml_reader.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <sstream>

namespace buckthorngrade {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPRequest;

constexpr std::size_t bodyPartBytes = 64UL * 1024;
// Connections beyond the limit that are accepted so that control requests still work.
constexpr std::uint32_t controlConnections = 64;
constexpr auto stopPoll = 100ms;
// A refused request's body up to this size is read so that the connection can be used again.
constexpr std::int64_t keepAliveBodyBytes = 64L * 1024;

std::string pathOf(const HTTPRequest &request)
{
    const std::string &uri = request.getURI();
    return uri.substr(0, uri.find('?'));
}

bool isControlPath(std::string_view path)
{
    return path.starts_with("/_") || path == "/load" || path == "/healthz";
}

// The path in the first line of a request that was not read yet.
std::string peekPath(const std::string &bytes)
{
    const auto start = bytes.find(' ');
    if (start == std::string::npos)
        return {};
    return bytes.substr(start + 1, bytes.find(' ', start + 1) - start - 1);
}

// The number at the end of `path` after `prefix`.
std::optional<std::uint64_t> numberAfter(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    path.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [rest, failure] = std::from_chars(path.data(), path.data() + path.size(), number);
    if (failure != std::errc() || rest != path.data() + path.size())
        return std::nullopt;
    return number;
}

std::string toJson(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::chrono::milliseconds durationOr(const Poco::JSON::Object &values, const std::string &key,
                                     std::chrono::milliseconds fallback)
{
    if (!values.has(key))
        return fallback;
    const auto value = parseDuration(values.getValue<std::string>(key));
    if (!value)
        throw error(key + " must be a time with its unit, for example 200ms");
    return *value;
}

std::optional<std::chrono::milliseconds> deadlineOf(const HTTPRequest &request)
{
    if (!request.has("Buckthorn-Deadline-Ms"))
        return std::nullopt;
    const auto value = numberAfter(request.get("Buckthorn-Deadline-Ms"), "");
    return value ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
}

} // namespace

stand_in::stand_in(const stand_in_options &options)
    : m_options(options)
    , m_started(std::chrono::steady_clock::now())
    , m_faults(options.seed)
    , m_gauge(options.slots)
    , m_records(options.recordFile)
{
    constexpr int backlog = 1024;
    try {
        m_listener.bind(Poco::Net::SocketAddress(options.address), true);
        m_listener.listen(backlog);
    } catch (const Poco::Exception &failure) {
        throw error(options.address + ": " + failure.displayText());
    }
    m_acceptThread = std::thread([this] { acceptLoop(); });
}

stand_in::~stand_in()
{
    m_isStopping = true;
    m_acceptThread.join();
    for (client &each : m_clients) {
        try {
            each.socket.shutdown();
        } catch (const Poco::Exception &) { // already closed
        }
        each.thread.join();
    }
}

std::string stand_in::address() const
{
    return m_listener.address().toString();
}

void stand_in::setDraining(bool draining)
{
    const std::lock_guard lock(m_mutex);
    m_drainingSince = draining ? std::optional(std::chrono::steady_clock::now()) : std::nullopt;
}

bool stand_in::waitIdle(std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (m_gauge.read().running > 0) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

std::string stand_in::statusJson() const
{
    const load_gauge::counts counts = m_gauge.read();
    Poco::JSON::Object object;
    object.set("name", m_options.name);
    object.set("slots", m_options.slots);
    object.set("running", counts.running);
    object.set("peak_running", counts.peakRunning);
    object.set("peak_offered", counts.peakOffered);
    object.set("shed", counts.shed);
    object.set("ran", m_ran.load());
    object.set("ran_while_draining", m_ranWhileDraining.load());
    object.set("last_run_after_drain_ms", m_lastRunAfterDrainMs.load());
    object.set("cancelled", m_cancelled.load());
    object.set("incomplete", m_incomplete.load());
    object.set("past_deadline", m_pastDeadline.load());
    object.set("connections", m_openConnections.load());
    object.set("rejected_connections", m_rejectedConnections.load());
    const std::lock_guard lock(m_mutex);
    object.set("peak_connections", m_peakConnections);
    object.set("draining", m_drainingSince.has_value());
    return toJson(object);
}

void stand_in::acceptLoop()
{
    while (!m_isStopping) {
        if (!m_listener.poll(Poco::Timespan(std::chrono::microseconds(stopPoll).count()),
                             Poco::Net::Socket::SELECT_READ))
            continue;
        const std::lock_guard lock(m_mutex);
        m_clients.remove_if([](client &each) {
            if (!each.isDone)
                return false;
            each.thread.join();
            return true;
        });
        try {
            Poco::Net::StreamSocket socket = m_listener.acceptConnection();
            const std::uint32_t open = ++m_openConnections;
            m_peakConnections = std::max(m_peakConnections, open);
            if (open > m_options.connections + controlConnections) {
                socket.setLinger(true, 0);
                socket.close();
                ++m_rejectedConnections;
                --m_openConnections;
                continue;
            }
            client &added = m_clients.emplace_back();
            added.socket = socket;
            const bool overLimit = open > m_options.connections;
            added.thread = std::thread([this, &added, overLimit] { serve(added, overLimit); });
        } catch (const Poco::Exception &) { // the client left before it was accepted
        }
    }
    m_listener.close();
}

void stand_in::serve(client &self, bool overLimit)
{
    try {
        http_connection connection(self.socket);
        while (!m_isStopping && serveOne(connection, overLimit)) { }
    } catch (const std::exception &) { // the client left, or the record file failed: no answer
    }
    try {
        self.socket.close();
    } catch (const Poco::Exception &) { }
    --m_openConnections;
    self.isDone = true;
}

bool stand_in::serveOne(http_connection &connection, bool overLimit)
{
    while (!connection.waitReadable(stopPoll))
        if (m_isStopping)
            return false;
    const std::string path = peekPath(connection.peek());
    if (path.empty() && connection.peek().empty())
        return false;
    if (!isControlPath(path)) {
        if (overLimit)
            ++m_rejectedConnections;
        if (overLimit || m_faults.next(path, true).kind != upstream_fault::none) {
            connection.reset();
            return false;
        }
    }
    HTTPRequest request;
    if (!connection.readHead(request))
        return false;
    const bool usable = isControlPath(pathOf(request)) ? serveControl(connection, request)
                                                       : serveRequest(connection, request);
    return usable && request.getKeepAlive();
}

bool stand_in::serveControl(http_connection &connection, const HTTPRequest &request)
{
    constexpr std::size_t maxControlBytes = 4096;
    std::string body;
    if (!connection.readBody(request, [&](std::string_view part) {
            body.append(part.substr(0, maxControlBytes - std::min(maxControlBytes, body.size())));
        }))
        return false;
    const std::string path = pathOf(request);
    const bool keepAlive = request.getKeepAlive();
    std::string text;
    if (path == "/load")
        text = loadAnswer(keepAlive);
    else if (path == "/healthz")
        text = sinceDrain() ? formatAnswer(503, "", "draining\n", keepAlive)
                            : formatAnswer(200, "", "ok\n", keepAlive);
    else if (request.getMethod() == HTTPRequest::HTTP_GET && path == "/_status")
        text = formatAnswer(200, "Content-Type: application/json\r\n", statusJson(), keepAlive);
    else {
        try {
            const auto values = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
            text = formatAnswer(200, "", changeControl(path, *values), keepAlive);
        } catch (const Poco::Exception &failure) {
            text = formatAnswer(400, "", failure.displayText() + "\n", keepAlive);
        } catch (const error &failure) {
            text = formatAnswer(400, "", std::string(failure.what()) + "\n", keepAlive);
        }
    }
    connection.send(text);
    return true;
}

std::string stand_in::changeControl(const std::string &path, const Poco::JSON::Object &values)
{
    if (path == "/_drain") {
        setDraining(values.getValue<bool>("on"));
    } else if (path == "/_load") {
        const std::lock_guard lock(m_mutex);
        m_loadMode = values.optValue<std::string>("mode", m_loadMode);
        m_loadLag = durationOr(values, "lag", m_loadLag);
    } else if (path == "/_fault") {
        fault_plan::rule rule;
        rule.kind = upstreamFaultFromString(values.getValue<std::string>("kind"));
        rule.count = values.optValue<std::int64_t>("count", rule.count);
        rule.probability = values.optValue<double>("probability", rule.probability);
        rule.delay = durationOr(values, "delay", rule.delay);
        rule.pathPrefix = values.optValue<std::string>("path", "");
        if (rule.kind == upstream_fault::none)
            m_faults.clear();
        else
            m_faults.add(rule);
    } else {
        throw error("unknown control path " + path);
    }
    return "ok\n";
}

std::string stand_in::loadAnswer(bool keepAlive) const
{
    std::string mode;
    std::chrono::milliseconds lag{0};
    {
        const std::lock_guard lock(m_mutex);
        mode = m_loadMode;
        lag = m_loadLag;
    }
    if (mode == "missing")
        return formatAnswer(404, "", "not found\n", keepAlive);
    if (mode == "nonsense")
        return formatAnswer(200, "", "{\"load\": \"many\", \"in_flight\": -7, ", keepAlive);
    const std::uint32_t running = mode == "zero" ? 0 : m_gauge.runningBefore(lag);
    return formatAnswer(200, "Content-Type: application/json\r\n",
                        fmt::format(R"({{"load":{:.4f},"in_flight":{},"slots":{}}})",
                                    static_cast<double>(running) / m_options.slots, running,
                                    m_options.slots),
                        keepAlive);
}

bool stand_in::serveRequest(http_connection &connection, const HTTPRequest &request)
{
    const auto deadline = deadlineOf(request);
    if (deadline && deadline->count() == 0) {
        ++m_pastDeadline;
        return refuse(connection, request, 504);
    }
    if (!m_gauge.tryEnter(m_options.shed))
        return refuse(connection, request, 503);
    bool holdsSlot = true;
    try {
        const bool usable = runRequest(connection, request, holdsSlot);
        release(holdsSlot);
        return usable;
    } catch (...) {
        release(holdsSlot);
        throw;
    }
}

bool stand_in::refuse(http_connection &connection, const HTTPRequest &request, int status)
{
    const bool isSmall = !request.getChunkedTransferEncoding()
        && request.getContentLength64() <= keepAliveBodyBytes;
    if (isSmall && !connection.readBody(request, [](std::string_view) {}))
        return false;
    connection.send(
        formatAnswer(status, "Not-Run: true\r\n", "not run\n", isSmall && request.getKeepAlive()));
    if (!isSmall)
        connection.closeCleanly();
    return isSmall;
}

std::optional<stand_in::received> stand_in::receive(http_connection &connection,
                                                    const HTTPRequest &request)
{
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(),
                                                                           &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    received body;
    const bool isComplete = connection.readBody(request, [&](std::string_view part) {
        XXH64_update(state.get(), part.data(), part.size());
        body.length += part.size();
    });
    if (!isComplete)
        return std::nullopt;
    body.digest = fmt::format("{:016x}", XXH64_digest(state.get()));
    body.mark = request.get("X-Request-Mark", "");
    return body;
}

void stand_in::record(const HTTPRequest &request, const received &body)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto drained = sinceDrain();
    ++m_ran;
    if (drained) {
        ++m_ranWhileDraining;
        m_lastRunAfterDrainMs = static_cast<std::uint64_t>(drained->count());
    }
    Poco::JSON::Object line;
    line.set("time_ms", now.count());
    line.set("upstream", m_options.name);
    line.set("method", request.getMethod());
    line.set("path", request.getURI());
    line.set("key", request.get("Idempotency-Key", ""));
    line.set("mark", body.mark);
    line.set("digest", body.digest);
    line.set("length", body.length);
    line.set("running", m_gauge.read().running);
    line.set("peak_running", m_gauge.read().peakRunning);
    m_records.append(toJson(line));
}

bool stand_in::runRequest(http_connection &connection, const HTTPRequest &request, bool &holdsSlot)
{
    const auto start = std::chrono::steady_clock::now();
    const fault_plan::rule fault = m_faults.next(request.getURI(), false);
    if (fault.kind == upstream_fault::reset_after_request_head) {
        connection.reset();
        return false;
    }
    const std::uint64_t generation = m_faults.generation();
    const auto body = receive(connection, request);
    if (!body) {
        ++m_incomplete;
        return false;
    }
    // The record comes before the work, so a request that was cut off counts as run.
    record(request, *body);

    steady_time end = std::chrono::steady_clock::now() + currentServiceTime();
    if (fault.kind == upstream_fault::late)
        end += fault.delay;
    const auto deadline = deadlineOf(request);
    const auto isHanging
        = [&] { return fault.kind == upstream_fault::hang && m_faults.generation() == generation; };
    while (isHanging() || std::chrono::steady_clock::now() < end) {
        const auto now = std::chrono::steady_clock::now();
        if (m_isStopping)
            return false;
        if (deadline && now >= start + *deadline && !isHanging()) {
            ++m_pastDeadline;
            release(holdsSlot);
            connection.send(formatAnswer(504, "", "deadline passed\n", request.getKeepAlive()));
            return true;
        }
        auto pause = isHanging() ? std::chrono::duration_cast<std::chrono::milliseconds>(stopPoll)
                                 : std::chrono::ceil<std::chrono::milliseconds>(end - now);
        pause = std::min(pause, std::chrono::milliseconds(stopPoll));
        if (deadline && !isHanging())
            pause = std::min(pause,
                             std::chrono::ceil<std::chrono::milliseconds>(start + *deadline - now));
        if (connection.waitPeerLeft(pause)) {
            ++m_cancelled;
            return false;
        }
    }
    if (fault.kind == upstream_fault::reset_before_answer) {
        connection.reset();
        return false;
    }
    return answer(connection, request, *body, fault.kind, holdsSlot);
}

bool stand_in::answer(http_connection &connection, const HTTPRequest &request, const received &body,
                      upstream_fault fault, bool &holdsSlot)
{
    const std::string path = pathOf(request);
    const auto status = numberAfter(path, "/status/").value_or(200);
    const auto bytes = numberAfter(path, "/bytes/");
    const bool isChunked = request.getURI().ends_with("?chunked=1");

    Poco::JSON::Object summary;
    summary.set("upstream", m_options.name);
    summary.set("method", request.getMethod());
    summary.set("path", request.getURI());
    summary.set("mark", body.mark);
    summary.set("digest", body.digest);
    summary.set("length", body.length);
    std::string pattern = bytes ? body.mark + "\n" : toJson(summary) + "\n";
    const std::uint64_t total = bytes.value_or(pattern.size());
    // Whole repetitions in one part, so that every part but the last is the same.
    if (bytes)
        while (pattern.size() < bodyPartBytes / 2)
            pattern += pattern;

    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    connection.send(fmt::format(
        "HTTP/1.1 {} {}\r\nX-Upstream: {}\r\nX-Request-Mark: {}\r\nX-Body-Digest: {}\r\n"
        "X-Body-Length: {}\r\nContent-Type: {}\r\n{}\r\nConnection: {}\r\n\r\n",
        status, Poco::Net::HTTPResponse::getReasonForStatus(code), m_options.name, body.mark,
        body.digest, body.length, bytes ? "application/octet-stream" : "application/json",
        isChunked ? "Transfer-Encoding: chunked" : fmt::format("Content-Length: {}", total),
        request.getKeepAlive() ? "keep-alive" : "close"));
    if (fault == upstream_fault::reset_after_answer_head) {
        connection.reset();
        return false;
    }
    const bool cutsBody
        = fault == upstream_fault::reset_in_body || fault == upstream_fault::truncate;
    std::uint64_t left = request.getMethod() == HTTPRequest::HTTP_HEAD ? 0
        : cutsBody                                                     ? total / 2
                                                                       : total;
    while (left > 0) {
        const std::string_view part(pattern.data(), std::min<std::uint64_t>(left, pattern.size()));
        left -= part.size();
        // The client may use the slot again once it has the last byte.
        if (left == 0 && !isChunked)
            release(holdsSlot);
        connection.send(isChunked ? fmt::format("{:x}\r\n{}\r\n", part.size(), part)
                                  : std::string(part));
    }
    release(holdsSlot);
    if (fault == upstream_fault::reset_in_body) {
        connection.reset();
        return false;
    }
    if (fault == upstream_fault::truncate) {
        connection.closeCleanly();
        return false;
    }
    if (isChunked && request.getMethod() != HTTPRequest::HTTP_HEAD)
        connection.send("0\r\n\r\n");
    return true;
}

std::chrono::milliseconds stand_in::currentServiceTime() const
{
    const auto age = std::chrono::steady_clock::now() - m_started;
    if (age >= m_options.coldTime)
        return m_options.serviceTime;
    const double coldShare = 1 - std::chrono::duration<double>(age) / m_options.coldTime;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_options.serviceTime * (1 + (m_options.coldFactor - 1) * coldShare));
}

std::optional<std::chrono::milliseconds> stand_in::sinceDrain() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_drainingSince)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - *m_drainingSince);
}

void stand_in::release(bool &holdsSlot)
{
    if (holdsSlot)
        m_gauge.leave();
    holdsSlot = false;
}

} // namespace buckthorngrade
