#pragma once

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

struct pollfd;

namespace buckthorngrade {

// How one direction of a link treats bytes.
struct link_conditions
{
    enum class flow {
        open,
        hold, // nothing passes; bytes are kept and delivered once the link is open again
        discard, // bytes are lost; a connection that lost any is reset once the link is open again
    };

    std::chrono::microseconds delay{0};
    std::chrono::microseconds jitter{0}; // up to this much is added; bytes stay in order
    std::uint64_t bytesPerSecond = 0; // shared by all connections; 0: unlimited
    // A lost packet shows to the application as a pause until TCP sends it again. Probabilities
    // are per piece of at most 16 KB.
    double stallProbability = 0;
    std::chrono::milliseconds stallTime{200};
    double resetProbability = 0;
    flow state = flow::open;
};

// A TCP proxy that makes the link to `target` slow, lossy or silent. New connections are accepted
// but stay silent while either direction is not open, because loopback can't lose a handshake.
// One thread serves all connections with non-blocking sockets. Members are thread-safe and take
// effect before they return.
class fault_proxy
{
public:
    // Listens on `listen` ("IP:port"; port 0: the system chooses). Throws error if that fails.
    fault_proxy(const std::string &listen, const std::string &target, std::uint64_t seed = 1);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    // "IP:port" with the port that was chosen.
    const std::string &address() const { return m_address; }

    enum direction { to_target = 0, to_client = 1 };
    void setConditions(direction which, const link_conditions &conditions);
    link_conditions conditions(direction which) const;
    // Silences one direction or both.
    void partition(bool toTarget, bool toClient,
                   link_conditions::flow state = link_conditions::flow::hold);
    // Makes both directions open, without delay, limits or losses, and accepts connections.
    void heal();
    // While refusing, the port is closed, so that a connection attempt is refused at once.
    void setRefusing(bool refusing);
    void resetAll();
    // Closes the target's side of every connection; the clients' sides stay open and silent.
    void leaveHalfOpen();

    struct counters
    {
        std::uint64_t accepted = 0;
        std::size_t open = 0;
        std::array<std::uint64_t, 2> bytes{}; // delivered, by direction
        std::uint64_t stalls = 0;
        std::uint64_t resets = 0;
    };
    counters read() const;

private:
    struct segment
    {
        steady_time due;
        std::string bytes;
    };
    // One direction of a connection.
    struct half
    {
        std::deque<segment> queue;
        std::size_t queuedBytes = 0;
        steady_time lastDue;
        bool hasEnded = false; // the source closed its side
        bool wasReset = false; // with a reset
        bool isFinished = false; // the end was passed on
    };
    struct connection
    {
        // Client and target; the source of direction d is ends[d]. -1: closed or not connected.
        std::array<int, 2> ends{-1, -1};
        std::array<half, 2> halves;
        bool isConnecting = true; // the target's side is not connected yet
        bool hasLostBytes = false;
        bool isHalfOpen = false;
        bool isDead = false;
    };
    using connection_list = std::list<std::shared_ptr<connection>>;

    void run();
    steady_time collect(std::vector<pollfd> &entries,
                        std::vector<std::shared_ptr<connection>> &owners, steady_time now);
    void handle(connection &item, const pollfd &entry, steady_time now);
    void acceptAll();
    void connectTarget(connection &item);
    void finishConnect(connection &item);
    void readFrom(connection &item, direction which, steady_time now);
    void writeTo(connection &item, direction which, steady_time now);
    void passEnd(connection &item, direction which);
    void closeEnds(connection &item, bool reset);
    bool isOpen(direction which) const;
    bool chance(double probability);
    void openListener(const std::string &address);
    void wake();

    std::string m_target;
    std::string m_address;
    int m_listener = -1;
    int m_wakeup = -1;

    mutable std::mutex m_mutex;
    std::array<link_conditions, 2> m_conditions;
    std::array<steady_time, 2> m_linkFree{}; // when the direction's bandwidth is free again
    connection_list m_connections;
    counters m_counters;
    std::mt19937_64 m_random;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace buckthorngrade
