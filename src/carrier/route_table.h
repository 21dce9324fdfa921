#pragma once

#include "model/routing_document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthorngrade {

// Finds the route of a request: the route of the request's host with the longest matching path
// prefix. The table is built once for each routing document. A lookup takes one hash lookup for the
// host and at most one for each slash in the path.
class route_table
{
public:
    explicit route_table(routing_document document);

    // Returns null if no route matches. `target` may have a query or a fragment. Hosts are compared
    // by hostKey().
    const route *find(std::string_view host, std::string_view target) const;
    // Returns null if the document doesn't have the service.
    const routed_service *findService(std::string_view name) const;
    const routing_document &document() const { return m_document; }

private:
    routing_document m_document;
    std::unordered_map<std::string, std::unordered_map<std::string, const route *>> m_byHost;
    std::unordered_map<std::string, const routed_service *> m_services;
};

// Splits the requests of a route among its services in proportion to their weights by smooth
// weighted round robin, which keeps the deviation as small as possible at any time.
class service_splitter
{
public:
    // Keeps its state by routeKey(), and resets it when the route's weights change.
    const std::string &choose(const route &route);

private:
    struct split_state
    {
        std::vector<weighted_service> services;
        std::vector<double> credit;
    };
    std::map<std::string, split_state> m_states;
};

} // namespace buckthorngrade
