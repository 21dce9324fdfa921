#include "testing/free_port.h"

#include "base/error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthorngrade {

free_port::free_port()
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    auto *const plain = reinterpret_cast<sockaddr *>(&address);
    if (::bind(m_descriptor, plain, length) != 0
        || ::getsockname(m_descriptor, plain, &length) != 0) {
        ::close(m_descriptor);
        throw error("no free port");
    }
    m_number = ntohs(address.sin_port);
}

free_port::~free_port()
{
    ::close(m_descriptor);
}

std::string free_port::address() const
{
    return "127.0.0.1:" + std::to_string(m_number);
}

} // namespace buckthorngrade
