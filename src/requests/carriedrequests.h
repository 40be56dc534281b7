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
 * A connection carries each request id at most once: a target may repeat a response, and the id in it can't tell to
 * which of two requests with that id it belongs. Used by one thread at a time.
 */
class CarriedRequests
{
public:
    /** Requests with an id after which a connection carries no more, which bounds its record to 8 KB. */
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
