#pragma once

#include "testing/deployment.h"
#include "testing/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <string>

namespace buckthorngrade {

// Sends a request to a service through an entry instance, as a caller of that instance's region.
// From elsewhere it would fall under the limit on foreign load. Never throws.
inline http_response requestNearby(const deployment &system, const std::string &entry,
                                   const std::string &service, http_request content)
{
    content.path = "/svc/" + service + content.path;
    const unsigned long number = std::stoul(entry.substr(entry.rfind('-') + 1));
    try {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
        socket.impl()->bind(
            Poco::Net::SocketAddress(fmt::format("127.0.{}.1", (number - 1) % 3 + 1), 0));
        socket.connect(Poco::Net::SocketAddress(system.address(entry)));
        socket.setReceiveTimeout(Poco::Timespan(60, 0));
        http_connection connection(socket);
        return exchange(connection, content);
    } catch (const Poco::Exception &failure) {
        http_response result;
        result.failure = failure.displayText();
        return result;
    }
}

// Repeats a request that is refused as not run, since slots move to where the demand is only with
// the next reports. Returns the last answer.
inline http_response requestUntilRun(const deployment &system, const std::string &entry,
                                     const std::string &service, const http_request &content)
{
    constexpr int tries = 100;
    http_response response;
    for (int i = 0; i < tries; ++i) {
        response = requestNearby(system, entry, service, content);
        if (response.header("buckthorn-outcome") != "not-run")
            break;
    }
    return response;
}

} // namespace buckthorngrade
