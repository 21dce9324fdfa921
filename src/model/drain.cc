#include "model/drain.h"

#include "base/error.h"

#include <algorithm>
#include <array>

namespace buckthorngrade {

namespace {

constexpr std::array<std::string_view, 5> targetNames
    = {"upstream", "failure-domain", "region", "entry", "control"};

} // namespace

drain_target drainTargetFromString(std::string_view word)
{
    const auto found = std::ranges::find(targetNames, word);
    if (found == targetNames.end())
        throw settings_error("unknown drain target '" + std::string(word)
                             + "'; use upstream, failure-domain, region, entry or control");
    return static_cast<drain_target>(found - targetNames.begin());
}

std::string_view toString(drain_target target)
{
    return targetNames[static_cast<std::size_t>(target)];
}

} // namespace buckthorngrade
