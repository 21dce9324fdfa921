#pragma once

#include "base/error.h"

namespace buckthorngrade {

// Failure in the entry role.
class entry_error : public error
{
public:
    using error::error;
};

} // namespace buckthorngrade
