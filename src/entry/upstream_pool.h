#pragma once

#include "base/clock.h"
#include "base/socket_stream.h"
#include "model/topology.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Kept-alive connections to upstreams. A connection carries one request at a time and comes back
// only after a clean, whole answer. Thread-safe.
class upstream_pool
{
public:
    // A connection in use; closed unless giveBack() is called.
    struct lease
    {
        std::unique_ptr<socket_stream> stream;
        std::string address;
        bool isReused = false;
    };

    // Connections to an upstream are divided evenly among this many entry instances.
    void setInstances(std::size_t count);
    // An idle connection, or a new one. Throws socket_error if it can't be made by `deadline`; then
    // nothing was sent.
    lease take(const upstream_spec &upstream, steady_time deadline);
    void giveBack(const upstream_spec &upstream, lease used);

private:
    struct idle_connection
    {
        std::unique_ptr<socket_stream> stream;
        steady_time since;
    };
    // Shorter than the idle timeout of usual servers, which would close the connection under a
    // request.
    static constexpr std::chrono::seconds maxIdleTime{4};

    std::mutex m_mutex;
    std::size_t m_instances = 1;
    std::map<std::string, std::vector<idle_connection>> m_idle; // by address, oldest first
};

} // namespace buckthorngrade
