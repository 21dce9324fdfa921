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

// Pool of persistent connections to upstreams. A connection carries one request at a time and is
// returned to the pool only after a complete response without errors. Thread-safe.
class upstream_pool
{
public:
    // A connection in use; closed unless release() is called.
    struct lease
    {
        std::unique_ptr<socket_stream> stream;
        std::string address;
        bool isReused = false;
    };

    // Sets the number of entry instances that share the connections to each upstream evenly.
    void setInstanceCount(std::size_t count);
    // Returns an idle connection or a new one. Throws socket_error if none can be established by
    // `deadline`; nothing has been sent then.
    lease acquire(const upstream_spec &upstream, steady_time deadline);
    void release(const upstream_spec &upstream, lease used);

private:
    struct idle_connection
    {
        std::unique_ptr<socket_stream> stream;
        steady_time idleSince;
    };
    // Shorter than the idle timeout of common servers, which would otherwise close a connection
    // while a request is sent on it.
    static constexpr std::chrono::seconds maxIdleTime{4};

    std::mutex m_mutex;
    std::size_t m_instanceCount = 1;
    std::map<std::string, std::vector<idle_connection>> m_idle; // by address, oldest first
};

} // namespace buckthorngrade
