#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Whether a request may be retried when its outcome is unknown.
enum class request_kind {
    idempotent, // may run more than once
    non_idempotent, // runs at most once per attempt of the caller
};

struct weighted_service
{
    std::string service;
    double weight = 0;
};

// Maps requests to services by host and path prefix, and limits their duration.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0}; // of the whole request; 0: only the caller's deadline
    std::chrono::milliseconds latencyTarget{0}; // 0: none
    int priority = 0; // 0 is the highest
    std::vector<weighted_service> services; // weights add up to more than 0
    std::uint32_t maxAttempts = 1; // maximum number of upstreams tried per request
    bool hasAffinity = false; // requests for the same object run faster on the same upstream
    std::vector<std::string> homeRegions; // empty: may run anywhere
};

struct routed_service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // per upstream, for all callers together; 0: unknown
    std::chrono::milliseconds coldPeriod{0}; // an upstream is cold for this time after its start
    // Requests per second that a cold upstream can handle; 0: unknown, and it gets none while it is
    // cold.
    double coldRate = 0;
};

struct request_limits
{
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 64U << 20;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

// One complete version of the routing configuration.
struct routing_document
{
    std::uint64_t version = 0; // any number; higher ones replace lower ones
    std::vector<route> routes;
    std::vector<routed_service> services;
    request_limits limits;
};

constexpr std::chrono::minutes maxRouteTimeout{10};

// Returns the form of a route's host, or of the value of a Host field, in which hosts are compared:
// in lower case and without the port. Hosts are the same if and only if their keys are equal. The
// check of a document and the lookup of a request must both use it: if the check tells two routes
// apart and the lookup doesn't, one of them gets the requests of the other.
std::string hostKey(std::string_view host);

// Identifies a route within a document. Names of routes are for people and need not be unique.
std::string routeKey(const route &route);

// Throws settings_error naming the first fault: a missing host, a time below 0, a timeout of 0 for
// callers' heads or idle connections, no room for a head, an unknown service, two routes with the
// same host and prefix, weights below 0 or that add up to 0, a timeout over maxRouteTimeout, a
// prefix that does not begin and end with a slash.
void checkRouting(const routing_document &document);

// Decodes the text format of routing documents that operators submit. Implementations are
// thread-safe.
class routing_codec
{
public:
    virtual ~routing_codec() = default;
    // Decodes a document that was accepted, maybe by an earlier release with fewer checks. If a
    // name is given twice, the last value counts, and numbers that their fields can't hold are
    // limited to the range. Throws settings_error if another part of the text can't be decoded. The
    // result is not validated; see checkRouting().
    virtual routing_document decode(std::string_view text) const = 0;
    // Decodes a document that is to be accepted. Also throws settings_error if a name is given
    // twice or a number is out of range, because such a part has no effect, or another than it
    // says.
    virtual routing_document decodeNew(std::string_view text) const = 0;
};

} // namespace buckthorngrade
