/**
 * @file
 * Reads files for tests.
 */
#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace support
{

inline std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace support
