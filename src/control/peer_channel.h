#pragma once

#include <grpcpp/channel.h>

#include <memory>
#include <string>

namespace buckthorngrade {

// Largest gRPC message, to be set on the server and on the channels.
inline constexpr int maxPeerMessageBytes = 4 << 20;

// Opens a channel to another control instance ("IP:port"), with a connection of its own.
std::shared_ptr<grpc::Channel> openPeerChannel(const std::string &address);

} // namespace buckthorngrade
