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

// Entry instances that a caller in `region` and `failureDomain` should use: the ready ones of its
// region, those of its failure domain first; those of other regions only if its own has none. At
// most `limit`.
std::vector<std::string> chooseEntries(const std::vector<directory_entry> &entries,
                                       const std::string &region, const std::string &failureDomain,
                                       std::size_t limit);

} // namespace buckthorngrade
