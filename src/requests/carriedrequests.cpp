#include "requests/carriedrequests.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pimentoshed::requests
{

namespace
{

std::uint64_t hash(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

} // namespace

bool CarriedRequests::mayCarry(std::string_view id) const
{
    return !isFull() && (id.empty() || std::find(m_ids.begin(), m_ids.end(), hash(id)) == m_ids.end());
}

bool CarriedRequests::isFull() const
{
    return m_ids.size() >= MaxRequests;
}

void CarriedRequests::add(std::string_view id)
{
    ++m_count;
    if (!id.empty()) {
        m_ids.push_back(hash(id));
    }
}

std::size_t CarriedRequests::count() const
{
    return m_count;
}

} // namespace pimentoshed::requests
