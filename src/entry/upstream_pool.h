#pragma once

#include "model/topology.h"

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
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
        std::unique_ptr<Poco::Net::HTTPClientSession> session;
        std::string address;
        bool reused = false;
    };

    lease take(const upstream_spec &upstream, std::chrono::milliseconds timeout);
    void giveBack(lease used);

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>>> m_idle;
};

} // namespace buckthorngrade
