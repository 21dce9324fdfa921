#include "carrier/route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace buckthorngrade {

route_table::route_table(routing_document document)
    : m_document(std::move(document))
{
    for (const route &route : m_document.routes)
        m_byHost[hostKey(route.host)][route.pathPrefix] = &route;
    for (const routed_service &service : m_document.services)
        m_services[service.name] = &service;
}

const route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_byHost.find(hostKey(host));
    if (routes == m_byHost.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const routed_service *route_table::findService(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const std::string &service_splitter::choose(const route &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    const auto isSame = [](const weighted_service &a, const weighted_service &b) {
        return a.service == b.service && a.weight == b.weight;
    };
    split_state &state = m_states[routeKey(route)];
    if (!std::ranges::equal(state.services, route.services, isSame)) {
        state.services = route.services;
        state.credit.assign(route.services.size(), 0);
    }
    const double total = std::accumulate(
        route.services.begin(), route.services.end(), 0.0,
        [](double sum, const weighted_service &part) { return sum + part.weight; });
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.credit.size(); ++i) {
        state.credit[i] += route.services[i].weight;
        if (state.credit[i] > state.credit[best])
            best = i;
    }
    state.credit[best] -= total;
    return route.services[best].service;
}

} // namespace buckthorngrade
