/**
 * @file
 * Counts the heap that operator new has given out and not got back.
 */
#pragma once

#include <cstddef>

namespace pimentoshed::bench
{

/** Bytes in use now, as the allocator rounds them up. */
std::size_t heapInUse();

} // namespace pimentoshed::bench
