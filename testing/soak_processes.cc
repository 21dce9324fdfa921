#include "testing/soak_processes.h"

#include <filesystem>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace buckthorngrade {

namespace {

// Offsets from the first port.
constexpr int controlPort = 2;
constexpr int directoryPort = 3;
constexpr int entryPort = 4;
constexpr int readyPort = 5;
constexpr int listPort = 6;

} // namespace

soak_processes::soak_processes(const std::string &binary, const std::string &network, int firstPort,
                               const std::vector<std::string> &domains, std::size_t controls,
                               std::size_t entries)
    : m_binary(binary)
    , m_network(network)
    , m_firstPort(firstPort)
    , m_domains(domains)
{
    for (std::size_t i = 0; i < controls + entries; ++i) {
        node &added = m_nodes.emplace_back();
        added.isControl = i < controls;
        added.name = fmt::format("{}-{}", added.isControl ? "control" : "entry", i);
        added.host = fmt::format("{}{}", network, i + 10);
        std::filesystem::create_directories(m_folder.path() / added.name);
    }
}

std::string soak_processes::settingsOf(const node &item, bool isFirst) const
{
    const auto address
        = [&](int port) { return fmt::format("{}:{}", item.host, m_firstPort + port); };
    nlohmann::json zones = nlohmann::json::object();
    for (const std::string &domain : m_domains)
        zones[domain] = domain.substr(0, domain.find('-'));
    nlohmann::json seeds = nlohmann::json::array();
    for (const node &other : m_nodes)
        if (other.isControl)
            seeds.push_back(fmt::format("{}:{}", other.host, m_firstPort + controlPort));
    const std::string domain
        = m_domains[static_cast<std::size_t>(&item - m_nodes.data()) % m_domains.size()];
    nlohmann::json listen = {{"front", address(entryPort)}, {"ready", address(readyPort)}};
    if (item.isControl)
        listen = {{"control", address(controlPort)}, {"directory", address(directoryPort)}};
    return nlohmann::json{
        {"node_name", item.name},
        {"ip", item.host},
        {"zone", domain},
        {"region", domain.substr(0, domain.find('-'))},
        {"zones", zones},
        {"listen", listen},
        {"internal_ports", {m_firstPort, m_firstPort + 1}},
        {"seeds", seeds},
        {"bootstrap", isFirst},
        {"data_dir", item.isControl ? (m_folder.path() / item.name).string() : ""},
        {"bounds",
         {{"grace", "6s"},
          {"ttl_max", "2s"},
          {"retry_budget_ratio", 0.2},
          {"budget_window", "10s"},
          {"retry_budget_slack", 60},
          {"cold_overage", 1.5},
          {"cold_slack", 5},
          {"max_region_shift", 0.15}}},
        {"cloud", {{"address", listAddress()}, {"rate_per_s", 50}}}}
        .dump();
}

void soak_processes::startAll()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

bool soak_processes::isUp(std::size_t index)
{
    node &item = m_nodes[index];
    return item.running && item.running->isRunning() && !item.isPaused;
}

void soak_processes::start(std::size_t index)
{
    node &item = m_nodes[index];
    const auto settings = m_folder.path() / (item.name + ".json");
    writeWholeFile(settings, settingsOf(item, item.starts == 0));
    ++item.starts;
    item.isPaused = false;
    item.isStopping = false;
    item.running = std::make_unique<process>(
        "/usr/bin/env",
        std::vector<std::string>{"BUCKTHORNGRADE_SETTINGS=" + settings.string(), m_binary,
                                 item.isControl ? "platform-control" : "platform-entry"},
        logFile(index), logFile(index));
}

void soak_processes::kill(std::size_t index)
{
    node &item = m_nodes[index];
    if (item.running)
        item.running->signal(SIGKILL);
    item.running.reset();
    item.isPaused = false;
}

void soak_processes::terminate(std::size_t index)
{
    m_nodes[index].running->signal(SIGTERM);
    m_nodes[index].isStopping = true;
}

std::vector<std::string> soak_processes::endedByThemselves()
{
    std::vector<std::string> result;
    for (node &item : m_nodes)
        if (item.running && !item.isStopping && !item.running->isRunning())
            result.push_back(item.name);
    return result;
}

void soak_processes::pause(std::size_t index)
{
    if (!isUp(index))
        return;
    m_nodes[index].running->signal(SIGSTOP);
    m_nodes[index].isPaused = true;
}

void soak_processes::resume(std::size_t index)
{
    node &item = m_nodes[index];
    if (item.running && item.isPaused)
        item.running->signal(SIGCONT);
    item.isPaused = false;
}

void soak_processes::wipe(std::size_t index)
{
    const auto folder = m_folder.path() / m_nodes[index].name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
}

std::string soak_processes::listAddress() const
{
    return fmt::format("{}1:{}", m_network, m_firstPort + listPort);
}

std::string soak_processes::controlAddress(std::size_t index) const
{
    return fmt::format("{}:{}", m_nodes[index].host, m_firstPort + controlPort);
}

std::string soak_processes::directoryAddress(std::size_t index) const
{
    return fmt::format("{}:{}", m_nodes[index].host, m_firstPort + directoryPort);
}

std::string soak_processes::entryAddress(std::size_t index) const
{
    return fmt::format("{}:{}", m_nodes[index].host, m_firstPort + entryPort);
}

std::string soak_processes::logFile(std::size_t index) const
{
    return (m_folder.path() / (m_nodes[index].name + ".log")).string();
}

} // namespace buckthorngrade
