#pragma once

#include "model/routing_document.h"

namespace buckthorngrade {

// Decodes the platform's JSON format of routing documents, in which routes and services are tables
// with a list of column names and a list of rows. Unknown members and columns are ignored. A route
// with a `traffic_split` doesn't use its `service`.
class platform_routing_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view text) const override;
    routing_document decodeNew(std::string_view text) const override;
};

} // namespace buckthorngrade
