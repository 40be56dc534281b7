/**
 * @file
 * Names shared by many claims, each stored once with a reference count.
 */
#pragma once

#include <cstddef>
#include <map>

namespace pimentoshed::claims
{

/** Counts the references to each name and erases a name with its last release. Pointers stay valid until then. */
template<typename Name>
class NamePool
{
public:
    const Name *acquire(const Name &name)
    {
        const auto position = m_references.try_emplace(name, 0).first;
        ++position->second;
        return &position->first;
    }

    void release(const Name *name)
    {
        const auto position = m_references.find(*name);
        if (--position->second == 0) {
            m_references.erase(position);
        }
    }

    std::size_t referenceCount(const Name &name) const
    {
        const auto position = m_references.find(name);
        return position == m_references.end() ? 0 : position->second;
    }

private:
    std::map<Name, std::size_t> m_references;
};

} // namespace pimentoshed::claims
