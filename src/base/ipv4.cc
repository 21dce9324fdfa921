#include "base/ipv4.h"

#include <arpa/inet.h>

namespace buckthorngrade {

std::uint32_t ipv4FromString(const std::string &text)
{
    in_addr address{};
    return ::inet_pton(AF_INET, text.c_str(), &address) == 1 ? ntohl(address.s_addr) : 0;
}

std::string ipv4ToString(std::uint32_t address)
{
    const in_addr native{htonl(address)};
    char text[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &native, text, sizeof text);
    return text;
}

} // namespace buckthorngrade
