#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Strict reading of YAML documents. All faults of a document are collected, each with its line
// and key path, so that one check shows everything that has to be corrected.

struct yaml_fault
{
    std::size_t line = 0; // from 1
    std::string path; // for example "services[0].upstreams[2].slots"
    std::string reason;
};

// Bounds on a document, checked before any value is read.
struct yaml_limits
{
    std::size_t maxBytes = 64 * 1024 * 1024;
    std::size_t maxDepth = 16;
    std::size_t maxNodes = 4'000'000;
};

// Parses one document. Throws settings_error for malformed YAML, for more than one document, for
// anchors and aliases (which can expand without bound), and beyond `limits`.
YAML::Node loadYaml(std::string_view text, const yaml_limits &limits = {});

// Values with units. Each returns nothing if the text is malformed.
// "200ms", "5s", "2min", "1h"; zero may not be written without a unit.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
// "12.5%" becomes 0.125.
std::optional<double> parsePercent(std::string_view text);
// "300Mbit/s", "10Gbit/s", "800kbit/s", as bytes a second.
std::optional<std::uint64_t> parseBitRate(std::string_view text);
// Checks "IPv4:port" or "[IPv6]:port" with a port of 1 to 65535, or 0 if `zeroPort`.
bool isSocketAddress(const std::string &text, bool zeroPort = false);

// Reads the keys of one YAML map. Each getter marks its key as known and records a fault instead
// of throwing; finish() records every key that was not asked for.
class yaml_map
{
public:
    // `faults` must outlive this.
    yaml_map(const YAML::Node &node, std::string path, std::vector<yaml_fault> &faults);

    bool has(const std::string &key) const;
    std::size_t line() const { return m_line; }
    std::size_t lineOf(const std::string &key) const;
    const std::string &path() const { return m_path; }

    // Required text that is not empty; an empty string after a fault.
    std::string text(const std::string &key);
    std::string textOr(const std::string &key, const std::string &fallback);
    // A name: letters, digits, '_', '-' and '.', at most 64 bytes.
    std::string name(const std::string &key);
    std::string address(const std::string &key, bool zeroPort = false);
    std::uint64_t integer(const std::string &key, std::uint64_t minimum, std::uint64_t maximum,
                          std::optional<std::uint64_t> fallback = std::nullopt);
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds minimum,
                                       std::chrono::milliseconds maximum,
                                       std::optional<std::chrono::milliseconds> fallback
                                       = std::nullopt);
    double percent(const std::string &key, double minimum, double maximum,
                   std::optional<double> fallback = std::nullopt);
    std::uint64_t bitRate(const std::string &key);
    bool boolean(const std::string &key, bool fallback);
    std::vector<std::string> names(const std::string &key);
    // Calls `read` for the map below `key`, if there is one.
    void map(const std::string &key, bool required, const std::function<void(yaml_map &)> &read);
    // Calls `read` for each map in the list below `key`, which may be absent.
    void list(const std::string &key, const std::function<void(yaml_map &)> &read);

    void fault(const std::string &key, const std::string &reason);
    void finish();

private:
    std::optional<std::string> scalar(const std::string &key, bool required);
    const YAML::Node *find(const std::string &key) const;

    std::vector<std::pair<std::string, YAML::Node>> m_entries;
    std::set<std::string> m_known;
    std::string m_path;
    std::size_t m_line = 0;
    std::vector<yaml_fault> &m_faults;
};

// One line a fault: "line 12: services[0].name: reason".
std::string formatFaults(const std::vector<yaml_fault> &faults);

} // namespace buckthorngrade
