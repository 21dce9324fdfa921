#include "base/http_listener.h"

#include "base/poco_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds pollInterval{200};
constexpr std::chrono::milliseconds acceptPollInterval{50};
constexpr int requestTimeout = 408;
constexpr int internalError = 500;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

// Increments a counter for the lifetime of the guard.
class scoped_count
{
public:
    explicit scoped_count(std::atomic<std::uint32_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~scoped_count() { --m_count; }
    scoped_count(const scoped_count &) = delete;
    scoped_count &operator=(const scoped_count &) = delete;

private:
    std::atomic<std::uint32_t> &m_count;
};

} // namespace

class http_listener::connection final : public Poco::Runnable
{
public:
    connection(http_listener &owner, const Poco::Net::StreamSocket &socket)
        : m_owner(owner)
        , m_stream(socket)
        , m_clientAddress(socket.peerAddress().host().toString())
    { }

    void run() override
    {
        try {
            bool isFirst = true;
            while (waitForRequest(isFirst) && serveOne())
                isFirst = false;
            if (!m_isAborted)
                m_stream.lingeringClose();
        } catch (const error &) { // the connection failed
            m_stream.abort();
        } catch (const Poco::Exception &) {
            m_stream.abort();
        }
        --m_owner.m_openConnectionCount;
        m_isDone = true;
    }
    bool isDone() const { return m_isDone; }
    // Wakes the connection's thread by shutting down both directions.
    void interruptSocket() { m_stream.interrupt(); }

private:
    // Waits for the first byte of a request. Returns false if the connection is to be closed.
    bool waitForRequest(bool isFirst)
    {
        const scoped_count waiting(m_owner.m_waitingConnectionCount);
        const steady_time start = now();
        const auto &options = m_owner.m_options;
        const auto limit = isFirst ? options.readTimeout : options.idleTimeout;
        while (m_stream.buffered().empty()) {
            const bool isTimeoutReduced
                = m_owner.m_waitingConnectionCount * 2 > options.maxConnections;
            if (now() - start >= (isTimeoutReduced ? std::min(limit, reducedTimeout) : limit))
                return false;
            if (m_stream.waitReadable(now() + pollInterval)) {
                if (!m_stream.fill(now() + pollInterval))
                    return false;
            } else if (m_owner.m_isStopping) {
                return false;
            }
        }
        return true;
    }

    // Reads one head. Connections with an incomplete head count as waiting, so that the reduced
    // timeout applies to slow clients too.
    http_head readHead()
    {
        const steady_time start = now();
        const auto limit = m_owner.m_options.readTimeout;
        std::optional<std::size_t> size = findHeadEnd(m_stream.buffered());
        if (size)
            return parseBufferedHead(*size);
        const scoped_count waiting(m_owner.m_waitingConnectionCount);
        while (!size) {
            const bool isTimeoutReduced
                = m_owner.m_waitingConnectionCount * 2 > m_owner.m_options.maxConnections;
            const auto allowed = isTimeoutReduced ? std::min(limit, reducedTimeout) : limit;
            if (now() - start >= allowed)
                throw http_error(requestTimeout, "the head did not arrive in time");
            try {
                if (!m_stream.fill(std::min(start + allowed, now() + pollInterval)))
                    throw socket_error(socket_error::kind::closed, "the head ended early");
            } catch (const socket_error &failure) {
                if (!failure.isTimeout())
                    throw;
            }
            size = findHeadEnd(m_stream.buffered());
        }
        return parseBufferedHead(*size);
    }

    http_head parseBufferedHead(std::size_t size)
    {
        http_head head = parseRequestHead(m_stream.buffered().substr(0, size));
        m_stream.consume(size);
        return head;
    }

    // Serves one request. Returns false if the connection is to be closed.
    bool serveOne()
    {
        const scoped_count active(m_owner.m_activeRequestCount);
        const auto &options = m_owner.m_options;
        http_head head;
        try {
            head = readHead();
        } catch (const http_error &failure) {
            reject(failure);
            return false;
        }
        http_exchange exchange(m_stream, std::move(head), m_clientAddress, options.readTimeout,
                               options.sendTimeout, !m_owner.m_isClosing && !m_owner.m_isStopping);
        try {
            m_owner.m_handler.handle(exchange);
        } catch (const http_error &failure) {
            if (m_owner.m_options.onInvalid)
                m_owner.m_options.onInvalid(failure.what());
            sendErrorResponse(exchange, failure.status(), failure.what());
        } catch (const socket_error &) {
            throw;
        } catch (const std::exception &) {
            sendErrorResponse(exchange, internalError, "internal error");
        }
        if (!exchange.isFinished() && !exchange.isAborted())
            exchange.abort();
        m_isAborted = exchange.isAborted();
        return exchange.keepAlive();
    }

    static void sendErrorResponse(http_exchange &exchange, int status, const std::string &reason)
    {
        exchange.setClosing();
        if (exchange.isHeadSent())
            exchange.abort();
        else
            exchange.reply(status, {{"Content-Type", "text/plain"}}, reason + "\n");
    }

    void reject(const http_error &failure)
    {
        if (m_owner.m_options.onInvalid)
            m_owner.m_options.onInvalid(failure.what());
        const std::string body = std::string(failure.what()) + "\n";
        m_stream.write(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n"
                                   "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                                   failure.status(), reasonPhrase(failure.status()), body.size(),
                                   body),
                       now() + pollInterval);
    }

    http_listener &m_owner;
    socket_stream m_stream;
    const std::string m_clientAddress;
    bool m_isAborted = false;
    std::atomic<bool> m_isDone = false;
};

http_listener::http_listener(const std::string &address, http_handler &handler,
                             const http_listener_options &options)
    : m_options(options)
    , m_adapter(std::make_unique<poco_exchange_adapter>(handler))
    , m_handler(*m_adapter)
    , m_pool(2, static_cast<int>(options.maxConnections) + 2)
{
    open(address);
}

http_listener::http_listener(const std::string &address, exchange_handler &handler,
                             const http_listener_options &options)
    : m_options(options)
    , m_handler(handler)
    , m_pool(2, static_cast<int>(options.maxConnections) + 2)
{
    open(address);
}

void http_listener::open(const std::string &address)
{
    constexpr int backlog = 512;
    try {
        m_socket.bind(Poco::Net::SocketAddress(address), true, false);
        m_socket.listen(backlog);
        m_address = m_socket.address().toString();
    } catch (const Poco::Exception &failure) {
        throw error(fmt::format("can't listen on {}: {}", address, failure.displayText()));
    }
    m_acceptThread = std::thread([this] { acceptLoop(); });
}

http_listener::~http_listener()
{
    stopAccepting();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &item : m_connections)
            item->interruptSocket();
    }
    m_pool.joinAll();
}

void http_listener::stopAccepting()
{
    m_isStopping = true;
    if (m_acceptThread.joinable())
        m_acceptThread.join();
}

void http_listener::acceptLoop()
{
    const auto interval = Poco::Timespan(std::chrono::microseconds(acceptPollInterval).count());
    while (!m_isStopping) {
        try {
            if (m_socket.poll(interval, Poco::Net::Socket::SELECT_READ))
                accept();
        } catch (const Poco::Exception &) {
            // The client disconnected before it was accepted, or no file descriptors are available.
            std::this_thread::sleep_for(acceptPollInterval);
        } catch (const error &) { // the client disconnected
        }
    }
    m_socket.close();
}

void http_listener::accept()
{
    Poco::Net::StreamSocket socket = m_socket.acceptConnection();
    const std::lock_guard lock(m_mutex);
    m_connections.remove_if([](const auto &item) { return item->isDone(); });
    if (m_openConnectionCount >= m_options.maxConnections) {
        constexpr std::string_view refusal
            = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nBuckthorn-Outcome: not-run\r\n"
              "Content-Length: 0\r\nConnection: close\r\n\r\n";
        socket_stream stream(socket);
        stream.write(refusal, now());
        return;
    }
    const auto added = std::make_shared<connection>(*this, socket);
    m_connections.push_back(added);
    ++m_openConnectionCount;
    try {
        m_pool.start(*added);
    } catch (const Poco::Exception &) { // a thread that has just finished is not available yet
        --m_openConnectionCount;
        m_connections.pop_back();
    }
}

void sendBody(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType,
              const std::string &body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(contentType);
    response.sendBuffer(body.data(), body.size());
}

} // namespace buckthorngrade
