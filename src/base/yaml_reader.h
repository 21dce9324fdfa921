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

// Strict YAML reader. It collects all errors of a document, each with its line and key path, so
// that a single check reports everything that has to be corrected.

struct yaml_fault
{
    std::size_t line = 0; // starts at 1; 0 if unknown
    std::string path; // for example "services[0].upstreams[2].slots"
    std::string reason;
};

// Limits on a document. They are checked before the node tree is built.
struct yaml_limits
{
    std::size_t maxBytes = 64 * 1024 * 1024;
    std::size_t maxDepth = 16;
    std::size_t maxNodes = 4'000'000;
};

// Parses a single document. Throws settings_error if the YAML is malformed, has more than one
// document, uses anchors or aliases (which can expand without bound) or exceeds `limits`.
YAML::Node loadYaml(std::string_view text, const yaml_limits &limits = {});

// The following functions parse values with units. Each returns nullopt if the text is malformed.
// Parses "200ms", "5s", "2min" or "1h". The unit is required, also for zero.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
// Parses "12.5%" as 0.125.
std::optional<double> parsePercent(std::string_view text);
// Parses "300Mbit/s", "10Gbit/s" or "800kbit/s". Returns bytes per second.
std::optional<std::uint64_t> parseBitRate(std::string_view text);
// Returns whether `text` is "IPv4:port" or "[IPv6]:port" with a port of 1 to 65535, or also 0 if
// `zeroPort` is set.
bool isSocketAddress(const std::string &text, bool zeroPort = false);

// Reads the keys of a YAML map. Each getter marks its key as known and records an error instead of
// throwing. finish() records an error for every key that no getter has requested.
class yaml_map
{
public:
    // `faults` must outlive this object.
    yaml_map(const YAML::Node &node, std::string path, std::vector<yaml_fault> &faults);

    bool has(const std::string &key) const;
    std::size_t line() const { return m_line; }
    std::size_t lineOf(const std::string &key) const;
    const std::string &path() const { return m_path; }

    // Reads a required, non-empty string. Returns an empty string after an error.
    std::string text(const std::string &key);
    std::string textOr(const std::string &key, const std::string &fallback);
    // Reads a required name: letters, digits, '_', '-' and '.', at most 64 bytes.
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
    // Calls `read` with the map at `key`, if there is one.
    void map(const std::string &key, bool required, const std::function<void(yaml_map &)> &read);
    // Calls `read` with each map in the list at `key`, which may be absent.
    void list(const std::string &key, const std::function<void(yaml_map &)> &read);

    void fault(const std::string &key, const std::string &reason);
    void finish();

private:
    std::optional<std::string> scalar(const std::string &key, bool required);
    const YAML::Node *find(const std::string &key) const;

    std::vector<std::pair<std::string, YAML::Node>> m_entries;
    std::set<std::string> m_requestedKeys;
    std::string m_path;
    std::size_t m_line = 0;
    std::vector<yaml_fault> &m_faults;
};

// Formats one error per line: "line 12: services[0].name: reason".
std::string formatFaults(const std::vector<yaml_fault> &faults);

} // namespace buckthorngrade
