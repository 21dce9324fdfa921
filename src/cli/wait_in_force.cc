#include "cli/wait_in_force.h"

#include "cli/admin_client.h"
#include "cli/cli_error.h"
#include "cli/output.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <thread>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds pollInterval{250};

struct progress
{
    std::size_t instanceCount = 0;
    std::vector<std::string> missing;
    bool hasLeader = false;
    bool isInForce = false;

    bool isDone() const { return hasLeader && isInForce && instanceCount > 0; }
    std::string text() const
    {
        if (!hasLeader)
            return "no connected leader responds";
        if (instanceCount == 0)
            return "no entry instance has reported to the leader";
        if (missing.empty() && !isInForce)
            return "the leader has not confirmed it yet";
        return fmt::format("in force on {} of {} entry instances{}{}",
                           instanceCount - missing.size(), instanceCount,
                           missing.empty() ? "" : "; missing: ", fmt::join(missing, ", "));
    }
};

progress readProgress(std::uint64_t revision, const std::vector<std::string> &addresses,
                      std::chrono::milliseconds timeout)
{
    progress result;
    const auto status = readControlGroupStatus(addresses, timeout).leader();
    if (!status)
        return result;
    result.hasLeader = true;
    result.isInForce = status->optValue<std::uint64_t>("in_force_revision", 0) >= revision;
    std::set<std::string> behind;
    const auto names = status->getArray("behind");
    for (std::size_t i = 0; names && i < names->size(); ++i)
        behind.insert(names->getElement<std::string>(static_cast<unsigned>(i)));
    const auto instances = status->getArray("instances");
    for (std::size_t i = 0; instances && i < instances->size(); ++i) {
        const auto instance = instances->getObject(static_cast<unsigned>(i));
        const std::string state = instance ? fieldText(*instance, "state") : "removed";
        if (state == "removed" || state == "dead")
            continue;
        ++result.instanceCount;
        // `behind` lists the instances that have not confirmed the newest revision, which can be
        // later than the one waited for.
        const std::string name = fieldText(*instance, "name");
        if (behind.contains(name) && instance->optValue<std::uint64_t>("revision", 0) < revision)
            result.missing.push_back(fmt::format("{} ({})", name, state));
    }
    return result;
}

} // namespace

void waitInForce(std::uint64_t revision, const std::vector<std::string> &addresses,
                 std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string lastPrinted;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        const progress now
            = readProgress(revision, addresses, std::max(left, std::chrono::milliseconds(1)));
        if (now.text() != lastPrinted)
            fmt::print(stderr, "revision {}: {}\n", revision, now.text());
        lastPrinted = now.text();
        if (now.isDone())
            return;
        if (left <= pollInterval)
            throw unreachable_error(fmt::format(
                "revision {} was accepted but is not in force everywhere after {}ms: {}\nWhat to "
                "do "
                "next: 'buckthorngrade status' shows each instance's state and revision; an "
                "instance that\ncan't reach the control group excludes itself from lookups.",
                revision, timeout.count(), now.text()));
        std::this_thread::sleep_for(pollInterval); // poll interval
    }
}

} // namespace buckthorngrade
