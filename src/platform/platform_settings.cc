#include "platform/platform_settings.h"

#include "net/stream_socket.h"
#include "platform/json_values.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::json;

// Limits the lifetime of a directory response even if the platform allows more, because callers
// keep using a stopped instance until the response expires.
constexpr std::chrono::milliseconds maxDirectoryLifetime{2'000};

constexpr double bytesPerMegabit = 1e6 / 8;

// No control group is large enough to bear the loss of more disks; guards against typing errors.
constexpr int maxToleratedLosses = 1'000;

json objectField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null())
        return json::object();
    if (!found->is_object())
        throw settings_error(fmt::format("'{}' must be an object", name));
    return *found;
}

std::uint16_t portOf(const std::string &address)
{
    return address.empty() ? std::uint16_t{0} : socket_address::parse(address).port;
}

void readAddresses(const json &all, node_settings &result)
{
    const json listen = objectField(all, "listen");
    result.entryAddress = stringField(listen, "front", "");
    result.readyAddress = stringField(listen, "ready", "");
    result.controlAddress = stringField(listen, "control", "");
    result.directoryAddress = stringField(listen, "directory", "");
    const auto ports = all.find("internal_ports");
    if (ports == all.end() || !ports->is_array() || ports->empty()
        || !ports->front().is_number_unsigned())
        throw settings_error("'internal_ports' must be a list of two ports");
    result.firstInternalPort = ports->front().get<std::uint16_t>();
    result.controlPort = portOf(result.controlAddress);
    const auto seeds = all.find("seeds");
    if (seeds == all.end() || !seeds->is_array())
        throw settings_error("'seeds' must be a list of addresses");
    for (const json &seed : *seeds) {
        if (!seed.is_string())
            throw settings_error("'seeds' must be a list of addresses");
        const auto address = socket_address::parse(seed.get<std::string>());
        result.seedHosts.push_back(address.host);
        result.controlPort = address.port;
    }
}

void readBounds(const json &all, node_settings &result)
{
    const json bounds = objectField(all, "bounds");
    result.stopLimit = durationField(bounds, "grace", result.stopLimit);
    result.directoryLifetime = std::min(maxDirectoryLifetime,
                                        durationField(bounds, "ttl_max", result.directoryLifetime));
    result.retryShare = numberField(bounds, "retry_budget_ratio", result.retryShare);
    result.retryWindow = durationField(bounds, "budget_window", result.retryWindow);
    result.retryAllowance = numberField(bounds, "retry_budget_slack", result.retryAllowance);
    result.coldOverage = numberField(bounds, "cold_overage", result.coldOverage);
    result.coldAllowance = numberField(bounds, "cold_slack", result.coldAllowance);
    result.maxRegionShift = numberField(bounds, "max_region_shift", result.maxRegionShift);
}

void readTolerance(const json &all, node_settings &result)
{
    const double machines = numberField(objectField(all, "fault_tolerance"), "machines",
                                        static_cast<double>(result.toleratedDiskLosses));
    if (!(machines >= 0 && machines <= maxToleratedLosses))
        throw settings_error(
            fmt::format("'fault_tolerance.machines' must be from 0 to {}", maxToleratedLosses));
    result.toleratedDiskLosses = static_cast<std::size_t>(machines);
}

} // namespace

node_settings parsePlatformSettings(std::string_view text)
{
    const json all = json::parse(text, nullptr, false);
    if (!all.is_object())
        throw settings_error("the settings are not a JSON object");
    node_settings result;
    try {
        result.name = stringField(all, "node_name", "");
        result.host = stringField(all, "ip", "");
        result.failureDomain = stringField(all, "zone", "");
        result.region = stringField(all, "region", "");
        const json zones = objectField(all, "zones");
        for (const auto &[zone, region] : zones.items())
            result.regionOfDomain[zone] = region.is_string() ? region.get<std::string>() : "";
        readAddresses(all, result);
        readBounds(all, result);
        const json limits = objectField(all, "limits");
        result.linkBytesPerSecond
            = numberField(limits, "link_mbps", result.linkBytesPerSecond / bytesPerMegabit)
            * bytesPerMegabit;
        if (!(result.linkBytesPerSecond > 0))
            throw settings_error("'link_mbps' must be above 0");
        result.isFirstStart = booleanField(all, "bootstrap", false);
        result.dataFolder = stringField(all, "data_dir", "");
        readTolerance(all, result);
        const json list = objectField(all, "cloud");
        result.listAddress = stringField(list, "address", "");
        result.listCallsPerSecond = numberField(list, "rate_per_s", result.listCallsPerSecond);
    } catch (const net_error &failure) {
        throw settings_error(failure.what());
    }
    if (result.name.empty() || result.host.empty())
        throw settings_error("'node_name' and 'ip' must be given");
    return result;
}

std::string platformSettingsPath()
{
    const char *path = std::getenv(platform_wire::settingsVariable);
    if (path == nullptr || *path == '\0')
        throw settings_error(fmt::format("{} is not set; it names the settings file",
                                         platform_wire::settingsVariable));
    return path;
}

} // namespace buckthorngrade
