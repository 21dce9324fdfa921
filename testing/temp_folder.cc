#include "testing/temp_folder.h"

#include "base/error.h"

#include <cstdlib>
#include <string>
#include <system_error>

namespace buckthorngrade {

temp_folder::temp_folder()
{
    std::string name = (std::filesystem::temp_directory_path() / "buckthorngrade-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw error("can't create a folder below " + name);
    m_path = name;
}

temp_folder::~temp_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace buckthorngrade
