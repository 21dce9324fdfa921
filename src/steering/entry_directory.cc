#include "steering/entry_directory.h"

namespace buckthorngrade {

std::vector<std::string> chooseEntries(const std::vector<directory_entry> &entries,
                                       const std::string &region, const std::string &failureDomain,
                                       std::size_t limit)
{
    std::vector<std::string> same;
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const directory_entry &entry : entries) {
        if (!entry.isReady)
            continue;
        if (entry.region != region)
            far.push_back(entry.address);
        else if (entry.failureDomain == failureDomain)
            same.push_back(entry.address);
        else
            near.push_back(entry.address);
    }
    same.insert(same.end(), near.begin(), near.end());
    std::vector<std::string> &chosen = same.empty() ? far : same;
    if (chosen.size() > limit)
        chosen.resize(limit);
    return chosen;
}

} // namespace buckthorngrade
