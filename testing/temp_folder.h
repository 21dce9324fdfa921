#pragma once

#include <filesystem>

namespace buckthorngrade {

// A new folder below the system's folder for temporary files; the destructor removes it with
// everything in it.
class temp_folder
{
public:
    // Throws error if it can't be created.
    temp_folder();
    ~temp_folder();
    temp_folder(const temp_folder &) = delete;
    temp_folder &operator=(const temp_folder &) = delete;

    const std::filesystem::path &path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

} // namespace buckthorngrade
