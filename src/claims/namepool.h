/**
 * @file
 * Names that many claims share, each stored once and counted.
 */
#pragma once

#include <cstddef>
#include <map>

namespace pimentoshed::claims
{

/** Counts the holders of each name; a name without holders is forgotten. Pointers hold until the last release. */
template<typename Name>
class NamePool
{
public:
    const Name *acquire(const Name &name)
    {
        const auto place = m_holders.try_emplace(name, 0).first;
        ++place->second;
        return &place->first;
    }

    void release(const Name *name)
    {
        const auto place = m_holders.find(*name);
        if (--place->second == 0) {
            m_holders.erase(place);
        }
    }

    std::size_t holders(const Name &name) const
    {
        const auto place = m_holders.find(name);
        return place == m_holders.end() ? 0 : place->second;
    }

private:
    std::map<Name, std::size_t> m_holders;
};

} // namespace pimentoshed::claims
