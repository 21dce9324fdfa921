#pragma once

#include "model/routing_document.h"

namespace buckthorngrade {

// Decodes the platform's JSON format of routing documents, in which routes and services are tables
// with a list of column names and a list of rows.
class platform_routing_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view text) const override;
};

} // namespace buckthorngrade
