#include "cli/command_line.h"
#include "cli/run.h"

#include <fmt/format.h>

namespace buckthorngrade {

int runVersion(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    fmt::print("buckthorngrade {}\n", BG_VERSION);
    return exit_ok;
}

} // namespace buckthorngrade
