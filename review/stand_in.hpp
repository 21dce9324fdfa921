// Small stand-ins for the scripts of this folder: processes, the provider's list, backends, the
// operator and clients. They need nothing but the C++ library. All addresses are loopback
// addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// The case can't run: exit code 2.
struct cannot_run
{
    std::string reason;
};

// record.txt: one line an event, with the seconds since the start.
class record_file
{
public:
    explicit record_file(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

struct message
{
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; // all of the body that was announced has arrived

    std::string get(const std::string &name) const;
    bool has(const std::string &name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

// A blocking TCP connection with timeouts.
class connection
{
public:
    explicit connection(int descriptor = -1)
        : m_descriptor(descriptor)
    { }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool open(const std::string &address, milliseconds timeout, int receiveBuffer = 0);
    bool send(const std::string &bytes);
    // Returns the number of bytes read, 0 at the end, -1 on an error or after the timeout.
    long read(char *buffer, std::size_t size, milliseconds timeout);
    // Reads a message. Returns nullopt if the connection ends within the head, or after the
    // timeout.
    std::optional<message> receive(milliseconds timeout, bool isResponse);
    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void close();

private:
    int m_descriptor;
    std::string m_input;
};

// Accepts connections and runs `serve` for each on a thread of its own.
class listener
{
public:
    listener(const std::string &host, std::uint16_t port, std::function<void(connection &)> serve);
    ~listener();
    std::uint16_t port() const { return m_port; }

private:
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stops = false;
    std::thread m_thread;
};

// A small deployment: control instances in five zones, entry instances, the provider's list.
class deployment
{
public:
    deployment(std::string repository, record_file &record, int entries);
    ~deployment();

    struct machine
    {
        std::string name;
        std::string role; // entry, control
        std::string host;
        std::string zone;
        std::string settingsPath;
        std::string dataFolder;
        int pid = 0;
        bool isGone = false;
        bool isSuccessor = false; // takes the place of a machine that is gone
        double linkMbps = 1'000; // as the settings name it
        int internalOffset = 4; // of the port at which it reaches control instances
    };

    void startAll();
    void start(machine &started);
    // Kills a control instance for good. Its successor starts 1 s later, at another address with an
    // empty disk.
    void replaceControl(std::size_t index);
    void signal(const machine &to, int number);
    // Waits until the process has ended. Returns whether it did within the time.
    bool waitForEnd(machine &ended, milliseconds time);
    std::string controlAddress(const machine &of) const;
    // The address at which control instances serve entry instances and each other.
    std::string internalAddress(const machine &of) const;
    std::uint16_t portAt(int offset) const { return static_cast<std::uint16_t>(m_port + offset); }
    std::string entryAddress(const machine &of) const;
    std::string readyAddress(const machine &of) const;
    // Sends an order as the operator does: tries the control instances in turn, follows redirects
    // twice, until one gives a clear answer or the time is over. Returns the status, or 0.
    int order(const std::string &method, const std::string &path, const std::string &body,
              milliseconds time, std::string *answer = nullptr);
    // Waits until the entry instances are ready and answer a GET of the path with 200.
    void waitUntilServing(const std::string &host, const std::string &path);
    std::string freshHost() { return hostAt(m_nextHost++); }
    // Sets the entries of the provider's list, as the text of the object `instances`.
    void setList(const std::string &instances);

    std::vector<machine> controls;
    std::vector<machine> entries;

private:
    std::string hostAt(int number) const;
    void writeSettings(const machine &of, bool isFirstStart);
    void serveList(connection &client);

    std::string m_repository;
    record_file &m_record;
    std::string m_folder;
    std::string m_prefix; // of the loopback addresses
    int m_nextHost = 100;
    std::uint16_t m_port = 0; // the first of the ports
    std::mutex m_listMutex;
    std::string m_list = "{}";
    std::unique_ptr<listener> m_listServer;
    std::string m_listHost;
    std::vector<int> m_started;
};

// What a sound backend keeps of a request that it ran.
struct run_record
{
    std::string id;
    std::string requestId;
    std::string seal;
};

// A sound backend: checks X-Buckthorngrade-Expect-Instance, echoes the id, signs its answers.
class backend
{
public:
    // `respond` may replace the way in which a checked request is answered. It returns whether the
    // connection is kept.
    using responder = std::function<bool(backend &, connection &, const message &)>;
    backend(deployment &in, record_file &record, std::string id, std::string service,
            std::string zone, responder respond = {});
    std::string listEntry() const;
    // Sends a signed answer to the request.
    bool answer(connection &to, const message &request, const std::string &body);
    std::string address() const;
    const std::string id;
    const std::string service;
    const std::string zone;
    std::atomic<int> runs = 0;

private:
    void serve(connection &client);

    record_file &m_record;
    std::string m_host;
    responder m_respond;
    std::atomic<int> m_nextSeal = 1;
    std::unique_ptr<listener> m_listener;
};

// A link of limited bandwidth: what comes from the other side passes at `bytesPerSecond`, over all
// connections together.
class slow_link
{
public:
    explicit slow_link(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    { }
    // Waits until the bytes have passed.
    void pass(std::size_t bytes);

private:
    double m_bytesPerSecond;
    std::mutex m_mutex;
    steady::time_point m_free{};
};

// Forwards a connection to an address; answers pass the link.
void forward(connection &client, const std::string &to, slow_link &link);

// A configuration with one route to one service.
std::string configuration(std::uint64_t version, const std::string &host, const std::string &prefix,
                          const std::string &kind, const std::string &service,
                          const std::string &timeout, int furtherRoutes = 0);
std::string newRequestId();
