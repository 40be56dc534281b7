#include "control/filepacker.h"

#include "rpc/compression.h"

#include <algorithm>

namespace pimentoshed::control
{

namespace
{

/** Changes that a host may miss and still be sent the difference: some seconds of a storm. */
constexpr std::size_t VersionsKept = 8;

} // namespace

void FilePacker::note(const StandingRef &standing)
{
    const core::Lock lock(m_mutex);
    keep(standing);
}

PackedFile FilePacker::pack(const StandingRef &standing, std::uint64_t knownVersion)
{
    const core::Lock lock(m_mutex);
    keep(standing);
    const auto known = std::find_if(m_kept.begin(), m_kept.end(), [knownVersion](const StandingRef &each) {
        return each->version == knownVersion;
    });
    const auto basis = known == m_kept.end() ? 0 : knownVersion;
    const auto text = basis == 0 ? std::string_view() : std::string_view((*known)->text);
    if (m_kept.back()->version != standing->version) {
        return {rpc::compress(standing->text, text), basis};
    }
    auto &packed = m_packed[basis];
    if (packed.empty()) {
        packed = rpc::compress(standing->text, text);
    }
    return {packed, basis};
}

void FilePacker::keep(const StandingRef &standing)
{
    if (standing->version == 0 || (!m_kept.empty() && m_kept.back()->version >= standing->version)) {
        return;
    }
    m_packed.clear();
    m_kept.push_back(standing);
    if (m_kept.size() > VersionsKept) {
        m_kept.pop_front();
    }
}

} // namespace pimentoshed::control
