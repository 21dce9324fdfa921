#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace buckthorngrade {

// Settings of a process in a deployment with dynamic discovery: no process is configured with the
// number of instances. Addresses have the form "IP:port".
struct node_settings
{
    std::string name;
    std::string host; // own IPv4 address
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string> regionOfDomain;

    std::string entryAddress; // serves callers' requests; empty: disabled
    std::string readyAddress; // readiness endpoint for callers' requests
    std::string controlAddress; // for operators
    std::string directoryAddress; // returns the entry instances that a caller should use

    std::uint16_t controlPort = 0; // operator port of every control instance
    std::uint16_t firstInternalPort = 0;
    std::vector<std::string> seedHosts; // some control instances, which may be down or replaced
    bool isFirstStart = false; // whole deployment starts for the first time, without stored data
    std::filesystem::path dataFolder;
    std::size_t toleratedDiskLosses = 1; // machines whose disks may be lost at the same time

    double linkBytesPerSecond = 125e6; // capacity of the machine's network link

    std::string listAddress; // server of the deployment's list of instances
    double listCallsPerSecond = 1; // limit for all instances together

    // Limits set by operators. Their values come from the contracts of the deployment.
    std::chrono::milliseconds stopLimit{6'000}; // from SIGTERM to SIGKILL
    std::chrono::milliseconds directoryLifetime{2'000}; // lifetime of a directory response
    double retryShare = 0.2; // retries as a fraction of a service's requests
    std::chrono::milliseconds retryWindow{10'000};
    double retryAllowance = 0; // retries per window above retryShare, for all instances together
    double coldOverage = 1; // factor applied to a cold upstream's rate
    double coldAllowance = 0; // requests per second above that rate
    double maxRegionShift = 0.15; // fraction of a region's requests that may move in 2 s

    std::uint16_t replicaPort() const { return firstInternalPort; }
    std::uint16_t metricsPort() const { return static_cast<std::uint16_t>(firstInternalPort + 1); }
};

} // namespace buckthorngrade
