#pragma once

#include <cstdint>
#include <string>

namespace buckthorngrade {

// IPv4 addresses as numbers in host order. An instance's address serves as its replica id, so that
// replicas find each other without a directory.

// 0 for text that is not an IPv4 address.
std::uint32_t ipv4FromString(const std::string &text);
std::string ipv4ToString(std::uint32_t address);

} // namespace buckthorngrade
