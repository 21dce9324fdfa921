#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthorngrade {

struct region_spec
{
    std::string name;
    std::vector<std::string> failureDomains;
    // Number of entry instances that share the region's reserved slots. Further instances get only
    // leased slots.
    std::uint32_t entryInstances = 4;
};

// One direction of the link between two regions, shared by all traffic.
struct link_spec
{
    std::string from;
    std::string to;
    std::uint64_t bytesPerSecond = 0;
    std::chrono::microseconds delay{0}; // one way
};

// A CIDR block of client addresses and the preferred region for them.
struct client_block
{
    std::string block;
    std::string region;
    std::string site;
};

struct upstream_spec
{
    std::string name;
    std::string address; // "IP:port"
    std::string failureDomain;
    std::uint32_t slots = 0; // maximum concurrent requests
    std::uint32_t connections = 0; // maximum open connections
    std::string loadPath; // HTTP path of the load endpoint; empty: none
};

struct service_spec
{
    std::string name;
    std::string profile;
    std::chrono::milliseconds requestDeadline{5000};
    std::vector<upstream_spec> upstreams;
};

// The configuration that all instances of a deployment share, except profiles and drains.
struct topology
{
    std::vector<region_spec> regions;
    std::vector<link_spec> links;
    std::vector<client_block> clientBlocks;
    std::vector<service_spec> services;

    // Returns the region of a failure domain, or an empty string if the domain is unknown.
    std::string regionOf(const std::string &failureDomain) const;
    // The find functions return null if there is no match.
    const service_spec *findService(const std::string &name) const;
    const link_spec *findLink(const std::string &from, const std::string &to) const;
};

} // namespace buckthorngrade
