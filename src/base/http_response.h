#pragma once

#include "base/clock.h"
#include "base/http_head.h"
#include "base/socket_stream.h"

namespace buckthorngrade {

// Reads the head of the response to a request that was sent on `stream`. Skips interim responses
// (1xx), at most 16. `toHeadRequest` marks the response to a HEAD request. Throws http_error if a
// head is malformed, and socket_error if the connection ends or `deadline` passes before that.
http_head readResponseHead(socket_stream &stream, bool toHeadRequest, steady_time deadline);

} // namespace buckthorngrade
