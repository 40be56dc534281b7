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

/**
 * A connection carries each request once: a target may repeat a response, and the id that tells to which request a
 * response belongs can't tell it from the response to a later one with the same id. Used by one thread at a time.
 */
class CarriedRequests
{
public:
    /** Requests after which a connection carries no more, which bounds its record to 8 KB. */
    static constexpr std::size_t MaxRequests = 1000;

    /** Whether a request with @p id may be sent. An empty id, which no response repeats, may be sent again. */
    bool mayCarry(std::string_view id) const;

    bool isFull() const;

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
