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
    for (const routed_service &service : document.services)
        if (!services.insert(service.name).second)
            throw settings_error(fmt::format("the service '{}' is given twice", service.name));
    std::set<std::string> keys;
    for (const route &route : document.routes) {
        checkRoute(route, services);
        if (!keys.insert(routeKey(route)).second)
            throw settings_error(
                fmt::format("route '{}': another route has the same host and prefix", route.name));
    }
}

} // namespace buckthorngrade
