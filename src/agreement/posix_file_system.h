#pragma once

#include "agreement/file_system.h"

namespace buckthorngrade {

class posix_file_system final : public file_system
{
public:
    std::unique_ptr<append_file> create(const path &file) override;
    std::unique_ptr<append_file> open(const path &file, std::uint64_t size) override;
    std::string read(const path &file) override;
    std::vector<std::string> list(const path &folder) override;
    void createFolder(const path &folder) override;
    void rename(const path &from, const path &to) override;
    void remove(const path &file) override;
    void syncFolder(const path &folder) override;
    std::unique_ptr<folder_lock> lock(const path &folder) override;
};

} // namespace buckthorngrade
