#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// What may be done with a request whose outcome is unknown.
enum class request_kind {
    idempotent, // may run more than once
    non_idempotent, // at most once for each attempt of the caller
};

struct weighted_service
{
    std::string service;
    double weight = 0;
};

// Which requests go where, and how long they may take.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0}; // of the whole request; 0: the caller's deadline alone
    std::chrono::milliseconds latencyTarget{0}; // 0: none
    int priority = 0; // 0 is the highest
    std::vector<weighted_service> services; // weights add up to more than 0
    std::uint32_t maxAttempts = 1; // upstreams to which one request may be sent
    bool hasAffinity = false; // requests for the same object run faster on the same upstream
    std::vector<std::string> homeRegions; // empty: may run anywhere
};

struct routed_service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // of one upstream, from all callers together; 0: unknown
    std::chrono::milliseconds coldPeriod{0}; // after its start an upstream is cold
    double coldRate = 0; // requests a second that a cold upstream bears; 0: unlimited
};

struct request_limits
{
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64U << 20;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

// One whole version of the routing configuration.
struct routing_document
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    request_limits limits;
};

constexpr std::chrono::minutes maxRouteTimeout{10};

// Throws settings_error naming the first fault: an unknown service, two routes with the same host
// and prefix, weights below 0 or that add up to 0, a timeout over maxRouteTimeout, a prefix that
// does not begin and end with a slash.
void checkRouting(const routing_document &document);

// Reads the text in which operators write routing documents. Implementations are thread-safe.
class routing_codec
{
public:
    virtual ~routing_codec() = default;
    // Throws settings_error for text that can't be read in full. The result is not checked.
    virtual routing_document decode(std::string_view text) const = 0;
};

} // namespace buckthorngrade
