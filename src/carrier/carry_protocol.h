#pragma once

#include <string>

namespace buckthorngrade {

// Names of the header fields with which callers, entry instances and upstreams tell each other
// about a request. The defaults are the product's own.
struct carry_protocol
{
    std::string requestId = "Request-Id";
    std::string deadlineMs = "Buckthorn-Deadline-Ms"; // time left for the request
    std::string affinityCookie = "Buckthorn-Affinity"; // value: the object of the request
    std::string expectedUpstream = "Buckthorn-Expect-Upstream"; // another upstream answers 421
    std::string upstreamId = "Buckthorn-Upstream";
    std::string load = "Buckthorn-Load"; // "RUNNING,WAITING,SLOTS"
    std::string notRun = "Not-Run"; // the upstream did not run the request
    std::string seal = "Buckthorn-Seal"; // an upstream's signature of its answer
};

} // namespace buckthorngrade
