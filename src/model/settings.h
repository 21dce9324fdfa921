#pragma once

#include "base/events.h"
#include "model/topology.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// A voting control instance, as listed in the settings of every process.
struct control_member
{
    std::uint32_t id = 0; // 1 to 255, unique
    std::string grpcAddress; // "IP:port", for other instances
    std::string httpAddress; // "IP:port", for operators
};

struct control_settings
{
    std::uint32_t id = 0; // id of the control_member that this process runs
    std::filesystem::path dataFolder;
    std::filesystem::path platformList; // polled file of live and leaving instances; empty: none
};

struct entry_settings
{
    std::string httpAddress; // address to listen on
    std::string publicAddress; // address announced to callers; default: httpAddress
    std::uint32_t maxConnections = 512;
    std::chrono::milliseconds idleTimeout{15'000};
    std::chrono::milliseconds headTimeout{5'000};
    std::chrono::milliseconds drainLimit{60'000};
};

// Settings of one process: its own role and the deployment settings that all processes share.
struct settings
{
    std::string cluster;
    std::string instance;
    std::string failureDomain;
    log_level logLevel = log_level::info;
    std::filesystem::path traceFile; // empty: spans are not written
    double traceSample = 0.1;
    std::vector<control_member> members;
    topology deployment;
    bool hasControl = false;
    control_settings control;
    bool hasEntry = false;
    entry_settings entry;

    std::string region() const { return deployment.regionOf(failureDomain); }
    const control_member *findMember(std::uint32_t id) const;
};

// Reads settings from a file. The key `deployment` names a second file, relative to the first,
// with the part that all processes share. Throws settings_error that names every fault with file
// and line.
settings loadSettings(const std::filesystem::path &file);

} // namespace buckthorngrade
