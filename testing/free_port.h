#pragma once

#include <cstdint>
#include <string>

namespace buckthorngrade {

// A loopback port that the system chose and that is kept for one server until this is destroyed.
// The port stays bound here without listening: the system then gives it to nobody else, while a
// server that sets SO_REUSEADDR, as POCO and gRPC do, can still bind and listen on it, also again
// after a restart.
class free_port
{
public:
    // Throws error if no port is free.
    free_port();
    ~free_port();
    free_port(const free_port &) = delete;
    free_port &operator=(const free_port &) = delete;

    std::uint16_t number() const { return m_number; }
    // "127.0.0.1:port"
    std::string address() const;

private:
    int m_descriptor = -1;
    std::uint16_t m_number = 0;
};

} // namespace buckthorngrade
