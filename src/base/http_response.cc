#include "base/http_response.h"

#include <optional>

namespace buckthorngrade {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int badGateway = 502;
constexpr int maxInterimResponses = 16;

} // namespace

http_head readResponseHead(socket_stream &stream, bool toHeadRequest, steady_time deadline)
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        std::optional<std::size_t> size;
        while (!(size = findHeadEnd(stream.buffered())))
            if (!stream.fill(deadline))
                throw socket_error(socket_error::kind::closed,
                                   "the connection ended before the response");
        http_head head = parseResponseHead(stream.buffered().substr(0, *size), toHeadRequest);
        stream.consume(*size);
        if (head.status >= firstFinalStatus)
            return head;
    }
    throw http_error(badGateway, "too many interim responses");
}

} // namespace buckthorngrade
