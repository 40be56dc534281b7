/**
 * @file
 * Counts the heap that is allocated through operator new, which is replaced in this program.
 */
#pragma once

#include <cstddef>

namespace pimentoshed::bench
{

/** Bytes that are allocated at present, as rounded up by the allocator. Thread-safe. */
std::size_t heapInUse();

} // namespace pimentoshed::bench
