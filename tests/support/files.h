/**
 * @file
 * Files for tests.
 */
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace support
{

inline std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/** An empty temporary folder, which is removed on destruction. */
class TemporaryFolder
{
public:
    /** Throws std::runtime_error. */
    TemporaryFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "pimentoshed-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("can't create a temporary folder");
        }
        m_path = name;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

} // namespace support
