#pragma once

#include "testing/fault_proxy.h"
#include "testing/free_port.h"
#include "testing/http_client.h"
#include "testing/process.h"
#include "testing/temp_folder.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

struct deployment_options
{
    std::size_t controls = 3;
    std::size_t entries = 3;
    std::size_t upstreamsPerDomain = 1; // of each service
    std::uint32_t slots = 4;
    std::uint32_t connections = 64;
    std::chrono::milliseconds serviceTime{5};
    std::chrono::milliseconds requestDeadline{5000};
    std::chrono::milliseconds drainLimit{10'000};
    std::string linkRate = "4000Mbit/s";
    // Fault proxies from each control and entry instance to each other control instance.
    bool proxyControls = false;
    // Fault proxies from each entry instance to each upstream.
    bool proxyUpstreams = false;
    std::string extraProfileKeys{}; // YAML lines that are added to both profiles
    std::uint64_t seed = 1;
};

// A whole small deployment on loopback with real processes of the built binary: control-1 ...,
// entry-1 ..., and upstreams lookup-1 ... and claim-1 ... of the services "lookup" (profile
// "fast") and "claim" (profile "roomy"). Three regions r1, r2, r3 with two failure domains each
// (r1-a, r1-b, ...); instances and upstreams are spread over r1-a, r2-a, r3-a, r1-b, r2-b, r3-b in
// this order. Callers from 127.0.1.x, 127.0.2.x and 127.0.3.x belong to r1, r2 and r3, others to
// r1. All members throw error when something doesn't happen in time.
class deployment
{
public:
    // Writes the settings files; starts nothing.
    explicit deployment(const deployment_options &options);
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    // Starts everything, creates both profiles and waits until every entry instance is ready and
    // answers lookups. It may not hold slots yet: a new leader grants none for its first 11 s.
    void startAll();
    void start(const std::string &name);
    // SIGTERM, then waits for the end. Returns the exit code, or minus a signal.
    int stop(const std::string &name);
    void kill(const std::string &name);
    // SIGSTOP and SIGCONT: a process that hangs.
    void pause(const std::string &name);
    void resume(const std::string &name);
    // Null if it is not started.
    process *find(const std::string &name);

    std::vector<std::string> controlNames() const { return m_controls; }
    std::vector<std::string> entryNames() const { return m_entries; }
    std::vector<std::string> upstreamNames() const { return m_upstreams; }
    // HTTP address of a control instance, entry instance or upstream.
    std::string address(const std::string &name) const;
    std::vector<std::string> controlAddresses() const;
    std::filesystem::path folder() const { return m_folder.path(); }
    std::filesystem::path settingsFile(const std::string &name) const;
    // Everything that the process wrote to standard error.
    std::string log(const std::string &name) const;

    // The proxy between two processes. Throws error if the options didn't ask for it.
    fault_proxy &link(const std::string &from, const std::string &to);
    // Silences every proxied link between `group` and the rest, in both directions.
    void isolate(const std::vector<std::string> &group);
    void healLinks();

    // Calls over HTTP; they never throw.
    http_response lookup(const std::string &entry, const std::string &service,
                         const std::string &client = {}) const;
    http_response request(const std::string &entry, const std::string &service,
                          http_request content) const;
    http_response upstreamControl(const std::string &upstream, const std::string &path,
                                  const std::string &json) const;
    // Sends to a control instance that runs and follows 421; tries until `limit`.
    http_response admin(http_request content,
                        std::chrono::milliseconds limit = std::chrono::seconds(30)) const;
    http_response putProfile(const std::string &name, std::uint64_t baseVersion,
                             const std::string &yaml, const std::string &requestId = {}) const;
    http_response announceDrain(const std::string &kind, const std::string &target) const;

    // The status of the connected leader; null if there is none.
    Poco::JSON::Object::Ptr leaderStatus() const;
    // Name of the leader; empty if there is none.
    std::string leader() const;
    void waitForLeader() const;
    // Until the entry instance is ready and answers lookups.
    void waitReady(const std::string &name) const;
    // Until the entry instance may use at least one slot of every service.
    void waitForSlots(const std::string &name) const;
    // Until the leader says that `revision` is in force on all entry instances.
    void waitInForce(std::uint64_t revision) const;

    // One object for each request that an upstream ran; see testing/stand_in.h. Empty name: all.
    std::vector<Poco::JSON::Object::Ptr> records(const std::string &upstream = {}) const;
    // The upstream's counters.
    Poco::JSON::Object::Ptr upstreamStatus(const std::string &upstream) const;
    std::string profileYaml(const std::string &name) const;

private:
    void reservePorts();
    void createLinks();
    std::string deploymentYaml(const std::string &reader) const;
    std::string processYaml(const std::string &name) const;
    std::string addressFor(const std::string &reader, const std::string &target,
                           const std::string &direct) const;
    std::string domainOf(const std::string &name) const;
    bool isRunning(const std::string &name) const;

    const deployment_options m_options;
    temp_folder m_folder;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_upstreams;
    std::map<std::string, std::unique_ptr<free_port>> m_httpPorts;
    std::map<std::string, std::unique_ptr<free_port>> m_grpcPorts;
    std::map<std::string, std::unique_ptr<process>> m_processes;
    // After the processes, so that links end first and no process waits for a silent one.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<fault_proxy>> m_links;
};

} // namespace buckthorngrade
