#pragma once

#include <string>
#include <vector>

namespace buckthorngrade {

struct directory_entry
{
    std::string address;
    std::string region;
    std::string failureDomain;
    bool isReady = false;
};

// Returns the addresses of at most `limit` entry instances that a caller in `region` and
// `failureDomain` should use. Only ready instances are returned. Those in the caller's failure
// domain come first, then the rest of its region. Other regions are used only if the caller's
// region has no ready instance.
std::vector<std::string> chooseEntries(const std::vector<directory_entry> &entries,
                                       const std::string &region, const std::string &failureDomain,
                                       std::size_t limit);

} // namespace buckthorngrade
