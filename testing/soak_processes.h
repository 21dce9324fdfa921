#pragma once

#include "testing/process.h"
#include "testing/temp_folder.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// The control and entry processes of a soak, each on a loopback address of its own. Used by one
// thread, apart from the addresses, which never change.
class soak_processes
{
public:
    struct node
    {
        std::string name;
        std::string host;
        bool isControl = false;
        bool isPaused = false;
        bool isStopping = false; // it got SIGTERM
        int starts = 0;
        std::unique_ptr<process> running;
    };

    // Addresses are taken below `network` ("127.x.y."); ports from `firstPort` on.
    soak_processes(const std::string &binary, const std::string &network, int firstPort,
                   const std::vector<std::string> &domains, std::size_t controls,
                   std::size_t entries);

    void startAll();
    std::size_t size() const { return m_nodes.size(); }
    node &at(std::size_t index) { return m_nodes[index]; }
    bool isUp(std::size_t index);
    void start(std::size_t index);
    void kill(std::size_t index);
    void terminate(std::size_t index);
    // Names of processes that ended although nobody ended them.
    std::vector<std::string> endedByThemselves();
    void pause(std::size_t index);
    void resume(std::size_t index);
    // Empties the data folder of a control process that does not run.
    void wipe(std::size_t index);

    std::string listAddress() const;
    std::string controlAddress(std::size_t index) const; // of operators
    std::string directoryAddress(std::size_t index) const;
    std::string entryAddress(std::size_t index) const;
    std::string logFile(std::size_t index) const;

private:
    std::string settingsOf(const node &item, bool isFirst) const;

    std::string m_binary;
    std::string m_network;
    int m_firstPort;
    std::vector<std::string> m_domains;
    temp_folder m_folder;
    std::vector<node> m_nodes;
};

} // namespace buckthorngrade
