#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorngrade {

class http_connection;

struct http_request
{
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{30'000}; // for each read
};

struct http_response
{
    int status = 0; // 0: no response head arrived
    std::map<std::string, std::string> headers; // names in lower case
    std::string body{};
    bool isComplete = false; // the body arrived whole
    std::string failure; // why not

    // Empty if there is no such header. `name` in lower case.
    std::string header(const std::string &name) const;
};

// Sends a request on a connection of its own. Never throws; a failure is part of the result, since
// tests look at exactly how an exchange failed.
http_response exchange(const std::string &address, const http_request &request);

// Sends `request` on `connection` and reads the response.
http_response exchange(http_connection &connection, const http_request &request);

} // namespace buckthorngrade
