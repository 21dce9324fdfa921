#pragma once

#include "base/error.h"

#include <Poco/Net/NameValueCollection.h>

#include <chrono>
#include <map>
#include <string>

namespace buckthorngrade {

struct http_reply
{
    int status = 0;
    Poco::Net::NameValueCollection headers;
    std::string body;
    std::string address; // who answered
};

// An HTTP exchange that did not yield a whole answer. The request may have been run.
class http_call_error : public error
{
public:
    using error::error;
};

// Sends one request on a connection of its own. Bodies of at most 16 MB are accepted. `timeout`
// bounds each step: connecting, sending, and every read. Throws http_call_error.
http_reply callHttp(const std::string &address, const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &headers, const std::string &body,
                    std::chrono::milliseconds timeout);

} // namespace buckthorngrade
