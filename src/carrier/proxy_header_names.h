#pragma once

#include <string>

namespace buckthorngrade {

// Names of the header fields and of the cookie that callers, entry instances and upstreams use to
// exchange metadata about a request. A deployment may use other names than these defaults.
struct proxy_header_names
{
    std::string requestId = "Request-Id";
    std::string deadlineMs = "Buckthorn-Deadline-Ms"; // time left until the caller's deadline
    std::string affinityCookie = "Buckthorn-Affinity"; // its value names the request's object
    std::string expectedUpstream
        = "Buckthorn-Expect-Upstream"; // any other upstream responds with 421
    std::string upstreamId = "Buckthorn-Upstream";
    std::string load = "Buckthorn-Load"; // "RUNNING,WAITING,SLOTS"
    std::string notRun = "Not-Run"; // its presence means that the upstream did not run the request
    std::string leaving = "Buckthorn-Leaving"; // "1": the upstream wants no further requests
    // The requests per second that the upstream takes from all entry instances together.
    std::string requestLimit = "Buckthorn-Request-Limit";
    std::string seal = "Buckthorn-Seal"; // an upstream's signature of its response
};

} // namespace buckthorngrade
