#include "steering/entry_directory.h"

namespace buckthorngrade {

std::vector<std::string> chooseEntries(const std::vector<directory_entry> &entries,
                                       const std::string &region, const std::string &failureDomain,
                                       std::size_t limit)
{
    std::vector<std::string> sameDomain;
    std::vector<std::string> sameRegion;
    std::vector<std::string> otherRegions;
    for (const directory_entry &entry : entries) {
        if (!entry.isReady)
            continue;
        if (entry.region != region)
            otherRegions.push_back(entry.address);
        else if (entry.failureDomain == failureDomain)
            sameDomain.push_back(entry.address);
        else
            sameRegion.push_back(entry.address);
    }
    sameDomain.insert(sameDomain.end(), sameRegion.begin(), sameRegion.end());
    std::vector<std::string> &chosen = sameDomain.empty() ? otherRegions : sameDomain;
    if (chosen.size() > limit)
        chosen.resize(limit);
    return chosen;
}

} // namespace buckthorngrade
