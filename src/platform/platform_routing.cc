#include "platform/platform_routing.h"

#include "platform/json_values.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

using nlohmann::json;

constexpr double maxBytes = 1ULL << 53; // larger numbers are not exact in JSON
constexpr double maxCount = std::numeric_limits<std::uint32_t>::max();
constexpr double maxPriority = std::numeric_limits<int>::max();

// Only "safe" requests may run more than once. "upload" denotes a large body and, like every other
// kind, may run at most once.
request_kind parseRequestKind(const std::string &word)
{
    return word == "safe" ? request_kind::idempotent : request_kind::non_idempotent;
}

std::vector<weighted_service> parseServices(const json &row)
{
    std::vector<weighted_service> result;
    const auto split = row.find("traffic_split");
    if (split == row.end() || split->is_null()) {
        const std::string service = stringField(row, "service", "");
        if (!service.empty())
            result.push_back({service, 1});
        return result;
    }
    if (!split->is_array())
        throw settings_error("'traffic_split' must be a list");
    for (const json &part : *split) {
        if (!part.is_object())
            throw settings_error("'traffic_split' must be a list of services with weights");
        result.push_back({stringField(part, "service", ""), numberField(part, "weight", 0)});
    }
    return result;
}

std::vector<std::string> parseHomeRegions(const json &row)
{
    std::vector<std::string> result;
    const auto homes = row.find("home_regions");
    if (homes == row.end() || homes->is_null())
        return result;
    if (!homes->is_array())
        throw settings_error("'home_regions' must be a list");
    for (const json &home : *homes) {
        if (!home.is_string())
            throw settings_error("'home_regions' must be a list of regions");
        result.push_back(home.get<std::string>());
    }
    return result;
}

// Reads a document. Faults that don't keep it from being read are added to a list: a name that is
// given twice, and a number that its field can't hold.
class document_reader
{
public:
    explicit document_reader(std::vector<std::string> &faults)
        : m_faults(faults)
    { }

    routing_document read(std::string_view text)
    {
        std::set<std::string> repeatedNames;
        const json document = parseJson(text, repeatedNames);
        if (!document.is_object())
            throw settings_error("the document is not a JSON object");
        for (const std::string &name : repeatedNames)
            m_faults.push_back(fmt::format("'{}' is given twice", name));
        const auto version = document.find("version");
        if (version == document.end() || !version->is_number_unsigned())
            throw settings_error("'version' must be a whole number");
        routing_document result;
        result.version = version->get<std::uint64_t>();
        forEachRow(document, "routes",
                   [&](const json &row) { result.routes.push_back(parseRoute(row)); });
        forEachRow(document, "services",
                   [&](const json &row) { result.services.push_back(parseService(row)); });
        result.limits = parseLimits(document);
        return result;
    }

private:
    // Calls `visitRow` with each row of the table as an object keyed by column name.
    void forEachRow(const json &document, const char *name,
                    const std::function<void(const json &)> &visitRow)
    {
        const auto table = document.find(name);
        if (table == document.end() || !table->is_object() || !table->contains("columns")
            || !table->contains("rows") || !table->at("columns").is_array()
            || !table->at("rows").is_array())
            throw settings_error(fmt::format("'{}' must have columns and rows", name));
        const json &columns = table->at("columns");
        std::set<std::string> names;
        for (const json &column : columns) {
            if (!column.is_string())
                throw settings_error(fmt::format("a column of '{}' has no name", name));
            if (!names.insert(column.get<std::string>()).second)
                m_faults.push_back(fmt::format("'{}' has two columns '{}'", name,
                                               column.get_ref<const std::string &>()));
        }
        for (const json &row : table->at("rows")) {
            if (!row.is_array() || row.size() != columns.size())
                throw settings_error(fmt::format("a row of '{}' does not fit its columns", name));
            json object = json::object();
            for (std::size_t i = 0; i < columns.size(); ++i)
                object[columns[i].get_ref<const std::string &>()] = row[i];
            visitRow(object);
        }
    }

    // Reads a whole number. For any other number this is a fault, and the nearest whole number
    // towards 0 within the range is returned, because the conversion of a number that doesn't fit
    // its type has no defined result.
    double wholeNumberField(const json &object, const char *name, double fallback, double lowest,
                            double highest)
    {
        const double value = numberField(object, name, fallback);
        const double result = std::clamp(std::trunc(value), lowest, highest);
        if (result != value)
            m_faults.push_back(
                fmt::format("'{}' must be a whole number from {} to {}", name, lowest, highest));
        return result;
    }

    route parseRoute(const json &row)
    {
        route result;
        result.name = stringField(row, "name", "");
        result.host = stringField(row, "host", "");
        result.pathPrefix = stringField(row, "path_prefix", "");
        result.kind = parseRequestKind(stringField(row, "kind", ""));
        result.timeout = durationField(row, "timeout", result.timeout);
        result.latencyTarget = durationField(row, "target_latency", result.latencyTarget);
        result.priority = static_cast<int>(wholeNumberField(row, "priority", 0, 0, maxPriority));
        result.services = parseServices(row);
        result.maxAttempts
            = static_cast<std::uint32_t>(wholeNumberField(row, "max_attempts", 1, 1, maxCount));
        result.hasAffinity = booleanField(row, "sticky_sessions", false);
        result.homeRegions = parseHomeRegions(row);
        return result;
    }

    routed_service parseService(const json &row)
    {
        routed_service result;
        result.name = stringField(row, "name", "");
        result.healthPath = stringField(row, "health_path", "");
        result.maxConnections
            = static_cast<std::uint32_t>(wholeNumberField(row, "max_conns", 0, 0, maxCount));
        result.coldPeriod = durationField(row, "cold_start", result.coldPeriod);
        result.coldRate = numberField(row, "cold_per_s", 0);
        return result;
    }

    request_limits parseLimits(const json &document)
    {
        request_limits result;
        const auto limits = document.find("limits");
        if (limits == document.end() || limits->is_null())
            return result;
        if (!limits->is_object())
            throw settings_error("'limits' must be an object");
        result.maxHeaderBytes = static_cast<std::uint64_t>(wholeNumberField(
            *limits, "max_header_bytes", static_cast<double>(result.maxHeaderBytes), 0, maxBytes));
        result.maxBodyBytes = static_cast<std::uint64_t>(wholeNumberField(
            *limits, "max_body_bytes", static_cast<double>(result.maxBodyBytes), 0, maxBytes));
        result.headerTimeout = durationField(*limits, "header_timeout", result.headerTimeout);
        result.idleTimeout = durationField(*limits, "idle_timeout", result.idleTimeout);
        return result;
    }

    std::vector<std::string> &m_faults;
};

} // namespace

routing_document platform_routing_codec::decode(std::string_view text) const
{
    std::vector<std::string> faults;
    return document_reader(faults).read(text);
}

routing_document platform_routing_codec::decodeNew(std::string_view text) const
{
    std::vector<std::string> faults;
    routing_document result = document_reader(faults).read(text);
    if (!faults.empty())
        throw settings_error(faults.front());
    return result;
}

} // namespace buckthorngrade
