#pragma once

#include "testing/http_connection.h"
#include "testing/load_gauge.h"
#include "testing/record_file.h"
#include "testing/upstream_faults.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace buckthorngrade {

struct stand_in_options
{
    std::string address = "127.0.0.1:0";
    std::string name = "upstream";
    std::uint32_t slots = 4;
    std::uint32_t connections = 400;
    std::chrono::milliseconds serviceTime{0};
    std::chrono::milliseconds coldTime{0}; // requests are slower for this long after the start
    double coldFactor = 10; // service time right after the start, relative to later
    bool shed = true; // answers 503 beyond the slots instead of running the request
    std::filesystem::path recordFile{};
    std::uint64_t seed = 1;
};

// An HTTP upstream for tests: it runs requests slowly, sheds load, starts cold, drains, and fails
// on demand. Every answer names the request that it belongs to (headers X-Request-Mark,
// X-Body-Digest, X-Body-Length and the same as JSON), so that a mixed-up answer is noticed.
//
// Paths besides ordinary requests, which answer JSON or N bytes:
//   GET  /bytes/N[?chunked=1]   N bytes that repeat the mark and a newline
//   ANY  /status/CODE           runs the request and answers with that status
//   GET  /healthz               200, or 503 while draining
//   GET  /load                  {"load", "in_flight", "slots"}
//   GET  /_status               counters, see statusJson()
//   POST /_fault                {"kind", "count", "probability", "delay", "path"}; "none" clears
//   POST /_load                 {"mode": "ok" | "missing" | "zero" | "nonsense", "lag": "2s"}
//   POST /_drain                {"on": true}
class stand_in
{
public:
    // Starts to listen. Throws error if that fails.
    explicit stand_in(const stand_in_options &options);
    // Resets the connections that are open.
    ~stand_in();
    stand_in(const stand_in &) = delete;
    stand_in &operator=(const stand_in &) = delete;

    // "IP:port" with the port that was chosen.
    std::string address() const;
    fault_plan &faults() { return m_faults; }
    const load_gauge &gauge() const { return m_gauge; }
    void setDraining(bool draining);
    // Finishes the requests in flight; false if some are left after `limit`.
    bool waitIdle(std::chrono::milliseconds limit) const;
    std::string statusJson() const;

private:
    struct client
    {
        Poco::Net::StreamSocket socket;
        std::atomic<bool> isDone = false;
        std::thread thread;
    };
    struct received
    {
        std::string digest;
        std::uint64_t length = 0;
        std::string mark;
    };

    void acceptLoop();
    void serve(client &self, bool overLimit);
    // False if the connection can't be used again.
    bool serveOne(http_connection &connection, bool overLimit);
    bool serveControl(http_connection &connection, const Poco::Net::HTTPRequest &request);
    std::string changeControl(const std::string &path, const Poco::JSON::Object &values);
    std::string loadAnswer(bool keepAlive) const;
    bool serveRequest(http_connection &connection, const Poco::Net::HTTPRequest &request);
    bool runRequest(http_connection &connection, const Poco::Net::HTTPRequest &request,
                    bool &holdsSlot);
    bool refuse(http_connection &connection, const Poco::Net::HTTPRequest &request, int status);
    std::optional<received> receive(http_connection &connection,
                                    const Poco::Net::HTTPRequest &request);
    void record(const Poco::Net::HTTPRequest &request, const received &body);
    bool answer(http_connection &connection, const Poco::Net::HTTPRequest &request,
                const received &body, upstream_fault fault, bool &holdsSlot);
    std::chrono::milliseconds currentServiceTime() const;
    std::optional<std::chrono::milliseconds> sinceDrain() const;
    void release(bool &holdsSlot);

    const stand_in_options m_options;
    const steady_time m_started;
    fault_plan m_faults;
    load_gauge m_gauge;
    record_file m_records;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopping = false;

    mutable std::mutex m_mutex;
    std::list<client> m_clients;
    std::string m_loadMode = "ok";
    std::chrono::milliseconds m_loadLag{0};
    std::optional<steady_time> m_drainingSince;
    std::uint32_t m_peakConnections = 0;
    std::atomic<std::uint32_t> m_openConnections = 0;
    std::atomic<std::uint64_t> m_rejectedConnections = 0;
    std::atomic<std::uint64_t> m_ran = 0;
    std::atomic<std::uint64_t> m_ranWhileDraining = 0;
    std::atomic<std::uint64_t> m_lastRunAfterDrainMs = 0;
    std::atomic<std::uint64_t> m_cancelled = 0;
    std::atomic<std::uint64_t> m_incomplete = 0;
    std::atomic<std::uint64_t> m_pastDeadline = 0;
    std::thread m_acceptThread;
};

} // namespace buckthorngrade
