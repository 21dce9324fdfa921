#pragma once

#include "model/routing_document.h"

namespace buckthorngrade {

// Reads the platform's JSON form of routing documents: routes and services are tables with the
// names of their columns and a list of rows.
class platform_routing_codec final : public routing_codec
{
public:
    routing_document decode(std::string_view text) const override;
};

} // namespace buckthorngrade
