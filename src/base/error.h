#pragma once

#include <stdexcept>
#include <string>

namespace buckthorngrade {

// Base class of all exceptions thrown by this project. Each layer derives its own class and
// translates exceptions of the layers and libraries below it.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// A settings file, profile or other document is invalid. what() lists every error in it.
class settings_error : public error
{
public:
    using error::error;
};

} // namespace buckthorngrade
