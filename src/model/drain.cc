#include "model/drain.h"

#include "base/error.h"

#include <algorithm>
#include <array>

namespace buckthorngrade {

namespace {

constexpr std::array<std::string_view, 5> targetWords
    = {"upstream", "failure-domain", "region", "entry", "control"};

} // namespace

drain_target drainTargetFromString(std::string_view word)
{
    const auto found = std::ranges::find(targetWords, word);
    if (found == targetWords.end())
        throw settings_error("unknown drain target '" + std::string(word)
                             + "'; use upstream, failure-domain, region, entry or control");
    return static_cast<drain_target>(found - targetWords.begin());
}

std::string_view toString(drain_target target)
{
    return targetWords[static_cast<std::size_t>(target)];
}

} // namespace buckthorngrade
