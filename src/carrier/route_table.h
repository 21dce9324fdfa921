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

// Finds the route of a request: of the routes of its host, the one with the longest prefix of its
// path. Built once for each routing document; a look-up costs one hash look-up for each slash of
// the path.
class route_table
{
public:
    explicit route_table(routing_document document);

    // Null if no route matches. `target` may have a query. A port in `host` is ignored, and so is
    // case.
    const route *find(std::string_view host, std::string_view target) const;
    // Null for a service that is not in the document.
    const routed_service *findService(std::string_view name) const;
    const routing_document &document() const { return m_document; }

private:
    routing_document m_document;
    std::unordered_map<std::string, std::unordered_map<std::string, const route *>> m_byHost;
    std::unordered_map<std::string, const routed_service *> m_services;
};

// Spreads the requests of a route over its services in the proportions of their weights, with the
// smallest possible deviation at any time (smooth weighted round robin).
class service_splitter
{
public:
    // The choice is remembered by the route's name; a changed split starts anew.
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
