#pragma once

#include "base/error.h"

namespace buckthorngrade {

// A command line that can't be run as written.
class usage_error : public error
{
public:
    using error::error;
};

// No usable answer in time.
class unreachable_error : public error
{
public:
    using error::error;
};

// What was asked for does not exist.
class not_found_error : public error
{
public:
    using error::error;
};

} // namespace buckthorngrade
