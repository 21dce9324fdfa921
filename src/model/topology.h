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
    // Entry instances that have a part of the region's reserved slots; later ones get leased slots
    // only.
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

// A block of client addresses in CIDR form and the region that serves it by preference.
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
    std::uint32_t slots = 0; // requests at a time
    std::uint32_t connections = 0; // open connections at a time
    std::string loadPath; // HTTP path of the load endpoint; empty: none
};

struct service_spec
{
    std::string name;
    std::string profile;
    std::chrono::milliseconds requestDeadline{5000};
    std::vector<upstream_spec> upstreams;
};

// Everything that all instances of a deployment have in common besides profiles and drains.
struct topology
{
    std::vector<region_spec> regions;
    std::vector<link_spec> links;
    std::vector<client_block> clientBlocks;
    std::vector<service_spec> services;

    // Region of a failure domain; empty if it is unknown.
    std::string regionOf(const std::string &failureDomain) const;
    // Null if there is none of that name.
    const service_spec *findService(const std::string &name) const;
    const link_spec *findLink(const std::string &from, const std::string &to) const;
};

} // namespace buckthorngrade
