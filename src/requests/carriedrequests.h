/**
 * @file
 * The requests that a connection to a target has carried.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pimentoshed::requests
{

/** The requests that were sent on one connection, by the id that responses repeat. Used by one thread at a time. */
class CarriedRequests
{
public:
    /** Whether a request with @p id was sent. An empty id, which no response repeats, is never known. */
    bool contains(std::string_view id) const;

    /** Records that a request with @p id was sent. */
    void add(std::string_view id);

    /** Number of requests sent, those without an id included. */
    std::size_t count() const;

private:
    /** Hashes of the ids, in the order of the requests. */
    std::vector<std::uint64_t> m_ids;
    std::size_t m_count = 0;
};

} // namespace pimentoshed::requests
