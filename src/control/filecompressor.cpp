#include "control/filecompressor.h"

#include "rpc/compression.h"

#include <algorithm>

namespace pimentoshed::control
{

namespace
{

/** A host that misses fewer changes still gets a difference; enough for some seconds of a storm of changes. */
constexpr std::size_t MaxBases = 8;

} // namespace

void FileCompressor::addBase(const ConfigurationRef &configuration)
{
    const core::Lock lock(m_mutex);
    addBaseWithLock(configuration);
}

CompressedFile FileCompressor::compress(const ConfigurationRef &configuration, std::uint64_t knownVersion)
{
    const core::Lock lock(m_mutex);
    addBaseWithLock(configuration);
    const auto known = std::find_if(m_bases.begin(), m_bases.end(), [knownVersion](const ConfigurationRef &each) {
        return each->version == knownVersion;
    });
    const auto baseVersion = known == m_bases.end() ? 0 : knownVersion;
    const auto baseText = baseVersion == 0 ? std::string_view() : std::string_view((*known)->text);
    if (m_bases.back()->version != configuration->version) {
        return {rpc::compress(configuration->text, baseText), baseVersion};
    }
    auto &compressed = m_compressedNewest[baseVersion];
    if (compressed.empty()) {
        compressed = rpc::compress(configuration->text, baseText);
    }
    return {compressed, baseVersion};
}

void FileCompressor::addBaseWithLock(const ConfigurationRef &configuration)
{
    if (configuration->version == 0 || (!m_bases.empty() && m_bases.back()->version >= configuration->version)) {
        return;
    }
    m_compressedNewest.clear();
    m_bases.push_back(configuration);
    if (m_bases.size() > MaxBases) {
        m_bases.pop_front();
    }
}

} // namespace pimentoshed::control
