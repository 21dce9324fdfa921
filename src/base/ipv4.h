#pragma once

#include <cstdint>
#include <string>

namespace buckthorngrade {

// IPv4 addresses as integers in host byte order. The address of an instance is also its replica id,
// so replicas can find each other without a directory.

// Returns 0 if `text` is not an IPv4 address.
std::uint32_t ipv4FromString(const std::string &text);
std::string ipv4ToString(std::uint32_t address);

} // namespace buckthorngrade
