#pragma once

#include <grpcpp/server.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace buckthorngrade {

// How long calls under way may take when a server stops.
constexpr std::chrono::seconds grpcStopLimit{2};

// Serves `services`, which must outlive the server, on `address` ("IP:port"). Throws control_error
// if the address can't be bound.
std::unique_ptr<grpc::Server> startGrpcServer(const std::string &address,
                                              const std::vector<grpc::Service *> &services);

} // namespace buckthorngrade
