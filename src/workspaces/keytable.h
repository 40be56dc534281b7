/**
 * @file
 * Table of the keys of a configuration's workspaces.
 */
#pragma once

#include "configuration/model.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace pimentoshed::workspaces
{

/** Finds the workspace that holds a key. Immutable, so that requests look keys up without a lock. */
class KeyTable
{
public:
    /** An empty table. */
    KeyTable() = default;
    explicit KeyTable(std::shared_ptr<const configuration::Configuration> configuration);

    /**
     * Returns the workspace that holds the key with @p digest, or nullptr. Digests are compared in constant time. How
     * long it takes to find the candidates depends on the start of the digest, from which no key can be found.
     */
    std::shared_ptr<const configuration::Workspace> find(const configuration::KeyDigest &digest) const;

    std::size_t keyCount() const;

private:
    /** A key by the start of its digest, and its place in the configuration, which has the rest. */
    struct Row {
        std::uint64_t digestStart;
        std::uint32_t workspace;
        std::uint32_t key;
    };

public:
    /** Memory of the table for each key, besides the digest in the configuration. */
    static constexpr std::size_t BytesPerKey = sizeof(Row);

private:
    std::shared_ptr<const configuration::Configuration> m_configuration;
    /** Ordered by digestStart. */
    std::vector<Row> m_rows;
};

} // namespace pimentoshed::workspaces
