#pragma once

#include "base/http_listener.h"

namespace buckthorngrade {

// Serves exchanges through a handler that is written for POCO's request and response classes.
// Reading a malformed body throws http_error out of the request's stream.
class poco_exchange_adapter final : public exchange_handler
{
public:
    // `handler` must outlive this.
    explicit poco_exchange_adapter(http_handler &handler)
        : m_handler(handler)
    { }
    void handle(http_exchange &exchange) override;

private:
    http_handler &m_handler;
};

} // namespace buckthorngrade
