#pragma once

#include "net/http_server.h"
#include "testing/fault_proxy.h"
#include "testing/scripted_server.h"
#include "testing/soak_record.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// Upstreams of a soak behind a fault proxy each, and the platform's list that names them. All run
// on one event loop in this process.
class soak_upstreams
{
public:
    // How an upstream treats requests.
    enum class habit { sound, slow, failing, refusing, losing_answers, silent };

    soak_upstreams(soak_record &record, const std::string &listAddress, std::size_t count,
                   const std::vector<std::string> &domains, std::uint64_t seed);
    ~soak_upstreams();
    soak_upstreams(const soak_upstreams &) = delete;
    soak_upstreams &operator=(const soak_upstreams &) = delete;

    std::size_t size() const { return m_upstreams.size(); }
    fault_proxy &proxy(std::size_t index) { return *m_upstreams[index]->proxy; }
    void setHabit(std::size_t index, habit next) { m_upstreams[index]->habits = next; }
    void setDraining(std::size_t index, bool isDraining);
    // Another upstream at the same address: it answers 421 to requests for the one before it.
    void replace(std::size_t index);
    std::size_t arrivals(std::size_t index) const { return m_upstreams[index]->arrivals; }
    // Ends all faults.
    void heal();

private:
    struct upstream
    {
        std::string id; // used on the loop's thread
        std::string domain;
        int lifetime = 0;
        bool isDraining = false;
        std::atomic<habit> habits = habit::sound;
        std::atomic<std::size_t> arrivals = 0;
        std::unique_ptr<http_server> server;
        std::unique_ptr<fault_proxy> proxy;
    };

    void handle(upstream &at, const exchange_pointer &exchange);
    std::string list() const;

    soak_record &m_record;
    loop_thread m_thread;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::unique_ptr<http_server> m_list;
};

} // namespace buckthorngrade
