#include "model/topology.h"

#include <algorithm>

namespace buckthorngrade {

namespace {

template <typename Items, typename Predicate>
auto findPointer(const Items &items, Predicate predicate) -> const typename Items::value_type *
{
    const auto found = std::ranges::find_if(items, predicate);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

std::string topology::regionOf(const std::string &failureDomain) const
{
    const auto *region = findPointer(regions, [&](const region_spec &candidate) {
        return std::ranges::count(candidate.failureDomains, failureDomain) > 0;
    });
    return region ? region->name : std::string();
}

const service_spec *topology::findService(const std::string &name) const
{
    return findPointer(services, [&](const service_spec &service) { return service.name == name; });
}

const link_spec *topology::findLink(const std::string &from, const std::string &to) const
{
    return findPointer(links,
                       [&](const link_spec &link) { return link.from == from && link.to == to; });
}

} // namespace buckthorngrade
