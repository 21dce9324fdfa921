#include "platform/platform_settings.h"

#include "net/stream_socket.h"
#include "platform/json_values.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::json;

// Limits the lifetime of a directory response even if the platform allows more, because callers
// keep using a stopped instance until the response expires.
constexpr std::chrono::milliseconds maxDirectoryLifetime{2'000};

constexpr double bytesPerMegabit = 1e6 / 8;

// The port after the first one is used, too.
constexpr std::uint64_t maxFirstPort = std::numeric_limits<std::uint16_t>::max() - 1;

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

// Throws settings_error unless the number is finite and at least 0.
double amountField(const json &object, const char *name, double fallback)
{
    const double result = numberField(object, name, fallback);
    if (!std::isfinite(result) || result < 0)
        throw settings_error(fmt::format("'{}' must be a number of at least 0", name));
    return result;
}

// Throws settings_error if the time is below 0.
std::chrono::milliseconds periodField(const json &object, const char *name,
                                      std::chrono::milliseconds fallback)
{
    const std::chrono::milliseconds result = durationField(object, name, fallback);
    if (result.count() < 0)
        throw settings_error(fmt::format("'{}' must be a time of at least 0", name));
    return result;
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
    const auto firstPort = ports->front().get<std::uint64_t>();
    if (firstPort == 0 || firstPort > maxFirstPort)
        throw settings_error(
            fmt::format("'internal_ports' must begin with a port from 1 to {}", maxFirstPort));
    result.firstInternalPort = static_cast<std::uint16_t>(firstPort);
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
    result.stopLimit = periodField(bounds, "grace", result.stopLimit);
    result.directoryLifetime
        = std::min(maxDirectoryLifetime, periodField(bounds, "ttl_max", result.directoryLifetime));
    result.retryShare = amountField(bounds, "retry_budget_ratio", result.retryShare);
    result.retryWindow = periodField(bounds, "budget_window", result.retryWindow);
    if (result.retryWindow.count() == 0)
        throw settings_error("'budget_window' must be above 0");
    result.retryAllowance = amountField(bounds, "retry_budget_slack", result.retryAllowance);
    result.coldOverage = amountField(bounds, "cold_overage", result.coldOverage);
    result.coldAllowance = amountField(bounds, "cold_slack", result.coldAllowance);
    result.maxRegionShift = amountField(bounds, "max_region_shift", result.maxRegionShift);
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
            = amountField(limits, "link_mbps", result.linkBytesPerSecond / bytesPerMegabit)
            * bytesPerMegabit;
        if (result.linkBytesPerSecond == 0)
            throw settings_error("'link_mbps' must be above 0");
        result.isFirstStart = booleanField(all, "bootstrap", false);
        result.dataFolder = stringField(all, "data_dir", "");
        readTolerance(all, result);
        const json list = objectField(all, "cloud");
        result.listAddress = stringField(list, "address", "");
        result.listCallsPerSecond = amountField(list, "rate_per_s", result.listCallsPerSecond);
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
