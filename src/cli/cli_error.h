#pragma once

#include "base/error.h"

namespace buckthorngrade {

// The command line is invalid.
class usage_error : public error
{
public:
    using error::error;
};

// No usable response arrived before the timeout.
class unreachable_error : public error
{
public:
    using error::error;
};

// The requested object does not exist.
class not_found_error : public error
{
public:
    using error::error;
};

} // namespace buckthorngrade
