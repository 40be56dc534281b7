#include "workspaces/keytable.h"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <utility>

namespace pimentoshed::workspaces
{

namespace
{

std::uint64_t startOf(const configuration::KeyDigest &digest)
{
    std::uint64_t start = 0;
    std::memcpy(&start, digest.data(), sizeof(start));
    return start;
}

} // namespace

KeyTable::KeyTable(std::shared_ptr<const configuration::Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    const auto &workspaces = m_configuration->workspaces;
    std::size_t count = 0;
    for (const auto &workspace : workspaces) {
        count += workspace.keys.size();
    }
    m_rows.reserve(count);
    for (std::uint32_t i = 0; i < workspaces.size(); ++i) {
        for (std::uint32_t j = 0; j < workspaces[i].keys.size(); ++j) {
            m_rows.push_back({startOf(workspaces[i].keys[j]), i, j});
        }
    }
    std::sort(m_rows.begin(), m_rows.end(), [](const Row &left, const Row &right) {
        return left.digestStart < right.digestStart;
    });
}

std::shared_ptr<const configuration::Workspace> KeyTable::find(const configuration::KeyDigest &digest) const
{
    const auto start = startOf(digest);
    auto row = std::lower_bound(m_rows.begin(), m_rows.end(), start, [](const Row &candidate, std::uint64_t wanted) {
        return candidate.digestStart < wanted;
    });
    for (; row != m_rows.end() && row->digestStart == start; ++row) {
        const auto &workspace = m_configuration->workspaces[row->workspace];
        if (CRYPTO_memcmp(workspace.keys[row->key].data(), digest.data(), digest.size()) == 0) {
            return {m_configuration, &workspace};
        }
    }
    return nullptr;
}

std::size_t KeyTable::keyCount() const
{
    return m_rows.size();
}

} // namespace pimentoshed::workspaces
