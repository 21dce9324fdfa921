#pragma once

#include <grpcpp/server.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// Time allowed for calls in progress to finish when a server shuts down.
constexpr std::chrono::seconds grpcShutdownTimeout{2};

// Starts a server for `services` on `address` ("IP:port"). The services must outlive the server.
// Throws control_error if the address can't be bound.
std::unique_ptr<grpc::Server> startGrpcServer(const std::string &address,
                                              const std::vector<grpc::Service *> &services);

} // namespace buckthorngrade
