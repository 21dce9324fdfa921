#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace buckthorngrade {

// What callers were told and what upstreams ran during a soak, and which promises that breaks.
// Thread-safe.
class soak_record
{
public:
    // An upstream runs the request.
    void ran(const std::string &id, bool mayRunOnce);
    // A caller got this answer to its request.
    void answered(const std::string &id, int status, const std::string &body, bool hasSeal,
                  bool isComplete);
    // An entry process served or denied a path that exists since `version`.
    void sawRoute(const std::string &entryProcess, std::uint64_t version, bool exists);
    // An operator's change was acknowledged.
    void acknowledged(std::uint64_t version);
    std::uint64_t newestAcknowledged() const;
    // A control instance answered a read that was sent when `newestBefore` was acknowledged.
    void readBack(std::uint64_t version, std::uint64_t newestBefore);
    void broken(const std::string &what);

    // Checks what can be told only at the end: refused requests that ran.
    void finish();
    std::vector<std::string> faults() const;
    std::size_t served() const;
    std::size_t requests() const;

private:
    void add(const std::string &what); // with m_mutex held

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs; // of requests that may run once
    std::set<std::string> m_refused;
    std::map<std::string, std::uint64_t> m_newestRoute; // by entry process
    std::uint64_t m_acknowledged = 0;
    std::size_t m_served = 0;
    std::size_t m_requests = 0;
    std::vector<std::string> m_faults;
};

// Body that an upstream sends for a request.
std::string soakBody(const std::string &id);

} // namespace buckthorngrade
