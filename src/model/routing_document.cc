#include "model/routing_document.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

void checkRoute(const route &route, const std::set<std::string> &services)
{
    const auto reject = [&](const std::string &fault) {
        throw settings_error(fmt::format("route '{}': {}", route.name, fault));
    };
    if (hostKey(route.host).empty())
        reject("it names no host");
    if (route.latencyTarget.count() < 0)
        reject("the latency target is below 0");
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        reject("the path prefix must begin and end with a slash");
    if (route.timeout > maxRouteTimeout || route.timeout.count() < 0)
        reject("the timeout is out of range");
    if (route.services.empty())
        reject("it names no service");
    double total = 0;
    for (const weighted_service &part : route.services) {
        if (!services.contains(part.service))
            reject(fmt::format("the service '{}' is unknown", part.service));
        if (!std::isfinite(part.weight) || part.weight < 0)
            reject("a weight is below 0");
        total += part.weight;
    }
    if (total <= 0)
        reject("the weights add up to 0");
}

void checkService(const routed_service &service)
{
    if (service.coldPeriod.count() < 0 || !(service.coldRate >= 0))
        throw settings_error(
            fmt::format("service '{}': the cold period or rate is below 0", service.name));
}

// A limit of 0 would end each connection before its first request.
void checkLimits(const request_limits &limits)
{
    if (limits.headerTimeout.count() <= 0 || limits.idleTimeout.count() <= 0)
        throw settings_error("limits: a timeout is not above 0");
    if (limits.maxHeaderBytes == 0)
        throw settings_error("limits: there is no room for a head");
}

} // namespace

std::string hostKey(std::string_view host)
{
    // The colons of an IPv6 address belong to it. They are in brackets, as they have to be, or the
    // host has several colons.
    const std::size_t bracket = host.starts_with('[') ? host.find(']') : std::string_view::npos;
    if (bracket != std::string_view::npos)
        host = host.substr(0, bracket + 1);
    else if (std::ranges::count(host, ':') == 1)
        host = host.substr(0, host.find(':'));
    std::string result(host);
    std::ranges::transform(result, result.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return result;
}

std::string routeKey(const route &route)
{
    // No host has a slash, so the key shows where the prefix begins.
    return hostKey(route.host) + route.pathPrefix;
}

void checkRouting(const routing_document &document)
{
    std::set<std::string> services;
    for (const routed_service &service : document.services) {
        checkService(service);
        if (!services.insert(service.name).second)
            throw settings_error(fmt::format("the service '{}' is given twice", service.name));
    }
    checkLimits(document.limits);
    std::set<std::string> keys;
    for (const route &route : document.routes) {
        checkRoute(route, services);
        if (!keys.insert(routeKey(route)).second)
            throw settings_error(
                fmt::format("route '{}': another route has the same host and prefix", route.name));
    }
}

} // namespace buckthorngrade
