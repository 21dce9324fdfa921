#pragma once

#include "base/error.h"
#include "base/http_head.h"

#include <chrono>
#include <map>
#include <string>

namespace buckthorngrade {

struct http_reply
{
    http_head head;
    std::string body;
    std::string address; // of the server that sent the response
};

// No complete and well-formed response was received. The server may still have executed the
// request.
class http_call_error : public error
{
public:
    using error::error;
};

// Sends one request on a new connection. Response bodies are limited to 16 MB. `timeout` applies
// separately to connecting, sending, the response head and each read of the body. Throws
// http_call_error.
http_reply callHttp(const std::string &address, const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &headers, const std::string &body,
                    std::chrono::milliseconds timeout);

} // namespace buckthorngrade
