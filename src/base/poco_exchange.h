#pragma once

#include "base/http_listener.h"

namespace buckthorngrade {

// Adapts an http_handler, which uses POCO's request and response classes, to exchange_handler.
// Reading a malformed body from the request's stream throws http_error.
class poco_exchange_adapter final : public exchange_handler
{
public:
    // `handler` must outlive this object.
    explicit poco_exchange_adapter(http_handler &handler)
        : m_handler(handler)
    { }
    void handle(http_exchange &exchange) override;

private:
    http_handler &m_handler;
};

} // namespace buckthorngrade
