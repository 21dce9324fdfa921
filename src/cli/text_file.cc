#include "cli/text_file.h"

#include "cli/cli_error.h"

#include <fstream>
#include <sstream>

namespace buckthorngrade {

std::string readTextFile(const std::string &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input)
        throw usage_error(file + ": can't be read");
    return text.str();
}

} // namespace buckthorngrade
